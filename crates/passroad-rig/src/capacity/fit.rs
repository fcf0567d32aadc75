//! Fits how a quantity grows with a size: least squares for each form of growth, and the form chosen by leave-one-size-out
//! cross-validation.

use serde::{Deserialize, Serialize};

/// Form of growth: a value is constant + slope x transform(size).
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    Constant,
    Linear,
    Sqrt,
    Log,
    Quadratic,
}

const GROWING_FORMS: [Form; 4] = [Form::Linear, Form::Sqrt, Form::Log, Form::Quadratic];
/// A more complex form is chosen only if its cross-validation error is below this share of the simpler one's.
const MAX_ERROR_RATIO: f64 = 0.7;
/// A rise from the smallest size to the largest of at most this share of the mean counts as constant: noise causes as much.
const MIN_RISE_SHARE: f64 = 0.02;
/// With fewer sizes a curve cannot be distinguished from a line.
const MIN_SIZES_FOR_CURVES: usize = 4;

impl Form {
    pub fn transform(self, x: f64) -> f64 {
        match self {
            Form::Constant => 0.0,
            Form::Linear => x,
            Form::Sqrt => x.max(0.0).sqrt(),
            Form::Log => libm::log(x.max(1.0)),
            Form::Quadratic => x * x,
        }
    }
}

/// A fitted form. The error is the root mean square residual, in the unit of the values.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    pub form: Form,
    pub constant: f64,
    pub slope: f64,
    pub error: f64,
    /// Number of distinct sizes.
    pub sizes: usize,
}

impl Fit {
    pub fn value_at(&self, x: f64) -> f64 {
        self.constant + self.slope * self.form.transform(x)
    }
}

/// Constant and slope of one form by least squares; `None` where all sizes are the same.
fn least_squares(form: Form, points: &[(f64, f64)]) -> Option<(f64, f64)> {
    let n = points.len() as f64;
    let mean = points.iter().map(|p| p.1).sum::<f64>() / n;
    if form == Form::Constant {
        return (!points.is_empty()).then_some((mean, 0.0));
    }
    let mean_x = points.iter().map(|p| form.transform(p.0)).sum::<f64>() / n;
    let x_squares: f64 = points
        .iter()
        .map(|p| (form.transform(p.0) - mean_x).powi(2))
        .sum();
    if x_squares <= 0.0 {
        return None;
    }
    let slope = points
        .iter()
        .map(|p| (form.transform(p.0) - mean_x) * (p.1 - mean))
        .sum::<f64>()
        / x_squares;
    Some((mean - slope * mean_x, slope))
}

fn rms_residual(form: Form, (constant, slope): (f64, f64), points: &[(f64, f64)]) -> f64 {
    let sum: f64 = points
        .iter()
        .map(|p| (constant + slope * form.transform(p.0) - p.1).powi(2))
        .sum();
    (sum / points.len().max(1) as f64).sqrt()
}

/// Root mean square error of predicting each size from a fit to the others.
fn cross_validation_error(form: Form, points: &[(f64, f64)], sizes: &[f64]) -> f64 {
    let squared_error = |size: &f64| {
        let (held_out, rest): (Vec<_>, Vec<_>) = points.iter().partition(|p| p.0 == *size);
        least_squares(form, &rest).map_or(f64::INFINITY, |coefficients| {
            rms_residual(form, coefficients, &held_out).powi(2)
        })
    };
    (sizes.iter().map(squared_error).sum::<f64>() / sizes.len().max(1) as f64).sqrt()
}

/// Chooses a form and fits it to points of (size, value); `None` without points.
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let mut sizes: Vec<f64> = points.iter().map(|p| p.0).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    let mean = points.iter().map(|p| p.1).sum::<f64>() / points.len().max(1) as f64;
    let form = match sizes.len() {
        0 => return None,
        1 => Form::Constant,
        2 => Form::Linear,
        count => {
            let error = |form: Form| cross_validation_error(form, points, &sizes);
            // An error below the rounding error of the mean counts as zero.
            let floor = 1e-9 * mean.abs().max(1e-9);
            let form_count = if count < MIN_SIZES_FOR_CURVES {
                1
            } else {
                GROWING_FORMS.len()
            };
            let forms = GROWING_FORMS[..form_count].iter().copied();
            let growing = forms
                .min_by(|a, b| error(*a).total_cmp(&error(*b)))
                .unwrap_or(Form::Linear);
            let best = if error(growing) < MAX_ERROR_RATIO * error(Form::Linear) {
                growing
            } else {
                Form::Linear
            };
            let grows = error(Form::Constant) > floor
                && error(best) < MAX_ERROR_RATIO * error(Form::Constant);
            if grows { best } else { Form::Constant }
        }
    };
    let rise = |form: Form| {
        let slope = least_squares(form, points).map_or(0.0, |coefficients| coefficients.1);
        slope * (form.transform(sizes[sizes.len() - 1]) - form.transform(sizes[0]))
    };
    let form = if rise(form).abs() <= MIN_RISE_SHARE * mean.abs() {
        Form::Constant
    } else {
        form
    };
    let coefficients = least_squares(form, points)?;
    let error = rms_residual(form, coefficients, points);
    Some(Fit {
        form,
        constant: coefficients.0,
        slope: coefficients.1,
        error,
        sizes: sizes.len(),
    })
}
