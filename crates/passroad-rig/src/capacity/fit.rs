//! How a figure grows with what it grows by: least squares, the form chosen by how well each form foretells a size that
//! it was not fitted to.

use serde::{Deserialize, Serialize};

/// The form of growth; a figure is constant + slope x the form of the size.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    Constant,
    Linear,
    Sqrt,
    Log,
    Quadratic,
}

const GROWING: [Form; 4] = [Form::Linear, Form::Sqrt, Form::Log, Form::Quadratic];
/// A form with more to it is taken where it foretells this much better, as a part of the simpler one's error.
const BETTER: f64 = 0.7;
/// A rise from the smallest size to the largest below this part of the mean is none: chance makes as much.
const NO_GROWTH: f64 = 0.02;
/// Below so many sizes a bent curve is not told from a straight one.
const SIZES_FOR_CURVES: usize = 4;

impl Form {
    pub fn of(self, x: f64) -> f64 {
        match self {
            Form::Constant => 0.0,
            Form::Linear => x,
            Form::Sqrt => x.max(0.0).sqrt(),
            Form::Log => libm::log(x.max(1.0)),
            Form::Quadratic => x * x,
        }
    }
}

/// What was fitted. The error is the root of the mean squared residual, in the figure's unit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    pub form: Form,
    pub constant: f64,
    pub slope: f64,
    pub error: f64,
    pub sizes: usize,
}

impl Fit {
    pub fn at(&self, x: f64) -> f64 {
        self.constant + self.slope * self.form.of(x)
    }
}

/// Constant and slope of one form by least squares; none where the sizes don't differ.
fn squares(form: Form, points: &[(f64, f64)]) -> Option<(f64, f64)> {
    let n = points.len() as f64;
    let mean = points.iter().map(|p| p.1).sum::<f64>() / n;
    if form == Form::Constant {
        return (!points.is_empty()).then_some((mean, 0.0));
    }
    let middle = points.iter().map(|p| form.of(p.0)).sum::<f64>() / n;
    let spread: f64 = points.iter().map(|p| (form.of(p.0) - middle).powi(2)).sum();
    if spread <= 0.0 {
        return None;
    }
    let slope = points
        .iter()
        .map(|p| (form.of(p.0) - middle) * (p.1 - mean))
        .sum::<f64>()
        / spread;
    Some((mean - slope * middle, slope))
}

fn residual(form: Form, (constant, slope): (f64, f64), points: &[(f64, f64)]) -> f64 {
    let sum: f64 = points
        .iter()
        .map(|p| (constant + slope * form.of(p.0) - p.1).powi(2))
        .sum();
    (sum / points.len().max(1) as f64).sqrt()
}

/// Error where each size in turn is foretold from the others.
fn foretelling(form: Form, points: &[(f64, f64)], sizes: &[f64]) -> f64 {
    let one = |size: &f64| {
        let (left, rest): (Vec<_>, Vec<_>) = points.iter().partition(|p| p.0 == *size);
        squares(form, &rest).map_or(f64::INFINITY, |line| residual(form, line, &left).powi(2))
    };
    (sizes.iter().map(one).sum::<f64>() / sizes.len().max(1) as f64).sqrt()
}

/// The form and its figures; none without points.
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
            let error = |form: Form| foretelling(form, points, &sizes);
            // What is nought but for rounding is as good as nought.
            let floor = 1e-9 * mean.abs().max(1e-9);
            let bent = if count < SIZES_FOR_CURVES {
                1
            } else {
                GROWING.len()
            };
            let line = GROWING[..bent].iter().copied();
            let growing = line
                .min_by(|a, b| error(*a).total_cmp(&error(*b)))
                .unwrap_or(Form::Linear);
            let straight = if error(growing) < BETTER * error(Form::Linear) {
                growing
            } else {
                Form::Linear
            };
            let grows =
                error(Form::Constant) > floor && error(straight) < BETTER * error(Form::Constant);
            if grows { straight } else { Form::Constant }
        }
    };
    let rise = |form: Form| {
        let slope = squares(form, points).map_or(0.0, |line| line.1);
        slope * (form.of(sizes[sizes.len() - 1]) - form.of(sizes[0]))
    };
    let form = if rise(form).abs() <= NO_GROWTH * mean.abs() {
        Form::Constant
    } else {
        form
    };
    let line = squares(form, points)?;
    let error = residual(form, line, points);
    Some(Fit {
        form,
        constant: line.0,
        slope: line.1,
        error,
        sizes: sizes.len(),
    })
}
