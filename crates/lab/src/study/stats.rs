//! Confidence intervals and verdicts over paired days.

use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// A mean with its 95% confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Interval {
    /// The mean.
    pub mean: f64,
    /// Half of the interval's length; none for fewer than two values, as their variance is unknown.
    pub half: Option<f64>,
}

impl Interval {
    /// The ends of the interval.
    pub fn ends(&self) -> Option<(f64, f64)> {
        self.half.map(|half| (self.mean - half, self.mean + half))
    }

    /// Whether two intervals do not overlap; false if one of them is unknown.
    pub fn is_apart(&self, other: &Interval) -> bool {
        match (self.ends(), other.ends()) {
            (Some((a, b)), Some((c, d))) => b < c || d < a,
            _ => false,
        }
    }
}

/// The mean of some numbers; 0 for an empty slice.
pub fn mean(values: &[f64]) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.iter().sum::<f64>() / values.len() as f64
}

/// The unbiased variance of a sample.
pub fn variance(values: &[f64]) -> f64 {
    let mean_value = mean(values);
    values.iter().map(|x| (x - mean_value).powi(2)).sum::<f64>() / (values.len().max(2) - 1) as f64
}

/// Student's t for a two-sided 95% interval with these degrees of freedom.
fn t95(degrees_of_freedom: usize) -> f64 {
    // The distribution exists for one degree of freedom or more.
    StudentsT::new(0.0, 1.0, degrees_of_freedom.max(1) as f64)
        .map_or(f64::INFINITY, |distribution| distribution.inverse_cdf(0.975))
}

/// The mean of a sample with Student's 95% interval.
pub fn t_interval(values: &[f64]) -> Interval {
    interval(values, 1.0)
}

/// Student's 95% interval with a correction factor on the variance.
fn interval(values: &[f64], correction: f64) -> Interval {
    let n = values.len();
    let half = (n >= 2).then(|| t95(n - 1) * (variance(values) * correction / n as f64).sqrt());
    Interval { mean: mean(values), half }
}

/// Within-day intervals of several arms on the same days, without the variation between days (Cousineau 2005 with
/// Morey's correction of 2008). If two of them do not overlap, the interval of the paired difference excludes zero.
pub fn within_days(arms: &[Vec<f64>]) -> Vec<Interval> {
    let days = arms.iter().map(Vec::len).min().unwrap_or(0);
    let count = arms.len() as f64;
    let day: Vec<f64> = (0..days).map(|d| arms.iter().map(|a| a[d]).sum::<f64>() / count).collect();
    let overall_mean = mean(&day);
    let correction = if arms.len() > 1 { count / (count - 1.0) } else { 1.0 };
    arms.iter()
        .map(|arm| {
            let adjusted: Vec<f64> = (0..days).map(|d| arm[d] - day[d] + overall_mean).collect();
            if arms.len() > 1 {
                interval(&adjusted, correction)
            } else {
                t_interval(arm)
            }
        })
        .collect()
}

/// Verdict of the comparison of one figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The candidate is better.
    Better,
    /// The candidate is worse.
    Worse,
    /// The interval of the difference includes zero, or there are too few days.
    NoDifference,
}

impl Verdict {
    /// The verdict as text.
    pub fn label(self) -> &'static str {
        match self {
            Verdict::Better => "better",
            Verdict::Worse => "worse",
            Verdict::NoDifference => "no difference",
        }
    }
}

/// Differences up to this size are attributed to rounding.
const ROUNDING_ERROR: f64 = 1e-12;

/// The paired difference of two arms on the same days (second minus first), with Student's 95% interval.
pub fn paired(first: &[f64], second: &[f64]) -> (Interval, Verdict) {
    let differences: Vec<f64> = first.iter().zip(second).map(|(a, b)| b - a).collect();
    let difference = t_interval(&differences);
    let verdict = match difference.ends() {
        Some((low, _)) if low > ROUNDING_ERROR => Verdict::Better,
        Some((_, high)) if high < -ROUNDING_ERROR => Verdict::Worse,
        _ => Verdict::NoDifference,
    };
    (difference, verdict)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn t_interval_matches_a_table() {
        // Student's t for 4 degrees of freedom is 2.776; the sample has mean 3 and variance 2.5.
        let i = t_interval(&[1.0, 2.0, 3.0, 4.0, 5.0]);
        assert_eq!(i.mean, 3.0);
        let half = i.half.expect("five values have an interval");
        assert!((half - 2.776 * (2.5f64 / 5.0).sqrt()).abs() < 1e-3, "{half}");
        assert_eq!(t_interval(&[1.0]).half, None);
    }

    #[test]
    fn paired_differences_exclude_variation_between_days() {
        let first = vec![0.2, 0.5, 0.9, 0.4];
        let second: Vec<f64> = first.iter().zip([0.010, 0.012, 0.011, 0.009]).map(|(a, d)| a - d).collect();
        let (difference, verdict) = paired(&first, &second);
        assert_eq!(verdict, Verdict::Worse);
        assert!((difference.mean + 0.0105).abs() < 1e-9);
        assert!(
            !t_interval(&first).is_apart(&t_interval(&second)),
            "the unpaired intervals include the variation between days"
        );
        let within = within_days(&[first.clone(), second]);
        assert!(within[0].is_apart(&within[1]));
        assert_eq!(paired(&first, &first).1, Verdict::NoDifference);
    }
}
