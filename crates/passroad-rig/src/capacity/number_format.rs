//! Numbers as the page shows them.

/// Formats with three significant digits; integers below 1000 as they are.
pub fn format_number(value: f64) -> String {
    match value.abs() {
        v if v < 999.5 && v.fract() == 0.0 => format!("{value:.0}"),
        v if v >= 999.5 => thousands(value),
        v if v >= 99.95 => format!("{value:.0}"),
        v if v >= 9.995 => format!("{value:.1}"),
        v if v >= 0.9995 => format!("{value:.2}"),
        v if v >= 0.01 => format!("{value:.3}"),
        _ => format!("{value:.1e}"),
    }
}

fn thousands(value: f64) -> String {
    // Three significant digits, the rest are zeros.
    let step = libm::pow(10.0, libm::floor(libm::log10(value.abs())) - 2.0).max(1.0);
    let digits = format!("{:.0}", (value / step).round() * step);
    let (sign, digits) = digits
        .strip_prefix('-')
        .map_or(("", &digits[..]), |d| ("-", d));
    let mut out = String::new();
    for (n, c) in digits.chars().enumerate() {
        if n > 0 && (digits.len() - n).is_multiple_of(3) {
            out.push(',');
        }
        out.push(c);
    }
    format!("{sign}{out}")
}
