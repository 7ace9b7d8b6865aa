//! How a figure grows with the size: a straight line through the logarithms of both.

/// A power law: the figure is `factor` times the size to the power of `exponent`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Value of the figure at size 1.
    pub factor: f64,
    /// 1 if the figure grows in proportion to the size, above 1 if it grows faster.
    pub exponent: f64,
    /// Largest deviation of a point from the fitted value, as a share of the fitted value.
    pub residual: f64,
}

impl Fit {
    /// Fits points of sizes and figures by least squares. None with fewer than two sizes, or a figure that is
    /// not positive.
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        if points.iter().any(|(size, figure)| *size <= 0.0 || *figure <= 0.0 || !figure.is_finite()) {
            return None;
        }
        let logs: Vec<(f64, f64)> = points.iter().map(|(size, figure)| (size.ln(), figure.ln())).collect();
        let count = logs.len() as f64;
        let mean = |part: fn(&(f64, f64)) -> f64| logs.iter().map(part).sum::<f64>() / count;
        let x = mean(|p| p.0);
        let y = mean(|p| p.1);
        let spread: f64 = logs.iter().map(|p| (p.0 - x).powi(2)).sum();
        if spread <= f64::EPSILON {
            return None;
        }
        let exponent = logs.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>() / spread;
        let mut fit = Fit { factor: (y - exponent * x).exp(), exponent, residual: 0.0 };
        let deviation = |(size, figure): &(f64, f64)| (figure / fit.at(*size) - 1.0).abs();
        fit.residual = points.iter().map(deviation).fold(0.0, f64::max);
        Some(fit)
    }

    /// Fitted value of the figure at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.factor * size.powf(self.exponent)
    }

    /// The size at which the figure reaches a bound. None if it never does.
    pub fn reaches(&self, bound: f64) -> Option<f64> {
        (self.exponent > 0.0).then(|| (bound / self.factor).powf(self.exponent.recip()))
    }
}
