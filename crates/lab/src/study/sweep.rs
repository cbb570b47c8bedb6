//! Parameter sweeps: runs over a grid of values of scenario and tuning keys.

use std::path::Path;

use mallowring::Tuning;
use serde::{Deserialize, Serialize};

use super::stats::{t_interval, Interval};
use super::{figures, table, Arm};
use crate::scenario::Scenario;
use crate::world::DayResult;
use crate::LabError;

/// A key and its values.
#[derive(Clone, Debug, PartialEq)]
pub struct Axis {
    /// Dotted key, such as `load.offered` or `tuning.abate`.
    pub key: String,
    /// TOML values.
    pub values: Vec<toml::Value>,
}

impl std::str::FromStr for Axis {
    type Err = LabError;

    fn from_str(text: &str) -> Result<Self, LabError> {
        let syntax_error = || LabError::Argument(format!("'{text}': expected KEY=VALUE,VALUE,..."));
        let (key, values) = text.split_once('=').ok_or_else(syntax_error)?;
        // The values may be arrays themselves, so the list is parsed as a TOML array.
        let table: toml::Table = format!("values = [{values}]")
            .parse()
            .map_err(|e: toml::de::Error| LabError::Argument(format!("'{text}': {}", e.message())))?;
        let values = table.get("values").and_then(toml::Value::as_array).cloned().unwrap_or_default();
        if key.is_empty() || values.is_empty() {
            return Err(syntax_error());
        }
        Ok(Axis { key: key.to_owned(), values })
    }
}

/// A point of the grid: the scenario and the arm with the point's values.
#[derive(Clone, Debug)]
pub struct Point {
    /// The values, by axis.
    pub values: Vec<String>,
    /// The scenario with the values set.
    pub scenario: Scenario,
    /// The arm with the values set.
    pub arm: Arm,
}

/// Sets a dotted key; a numeric part is an index into an array.
fn set_key(root: &mut toml::Value, key: &str, value: toml::Value) -> Result<(), String> {
    let mut node = root;
    for part in key.split('.') {
        let next = match node {
            toml::Value::Array(list) => part.parse::<usize>().ok().and_then(|ix| list.get_mut(ix)),
            toml::Value::Table(table) => {
                Some(table.entry(part).or_insert(toml::Value::Table(toml::Table::new())))
            }
            _ => None,
        };
        node = next.ok_or_else(|| format!("there is no key '{part}'"))?;
    }
    *node = value;
    Ok(())
}

/// All points of a grid; the last axis varies fastest. An invalid value is an error that names the key.
pub fn grid(scenario: &Scenario, arm: &Arm, axes: &[Axis]) -> Result<Vec<Point>, LabError> {
    let argument = |key: &str, what: String| LabError::Argument(format!("{key}: {what}"));
    let mut points = vec![Point { values: Vec::new(), scenario: scenario.clone(), arm: arm.clone() }];
    for axis in axes {
        let mut next = Vec::new();
        for point in points {
            for value in &axis.values {
                let mut point = point.clone();
                point.values.push(value.to_string());
                if let Some(key) = axis.key.strip_prefix("tuning.") {
                    let mut tree = toml::Value::try_from(&point.arm.tuning)
                        .map_err(|e| argument(&axis.key, e.to_string()))?;
                    set_key(&mut tree, key, value.clone()).map_err(|e| argument(&axis.key, e))?;
                    point.arm.tuning =
                        Tuning::deserialize(tree).map_err(|e| argument(&axis.key, e.message().to_owned()))?;
                } else {
                    let mut tree = toml::Value::try_from(&point.scenario)
                        .map_err(|e| argument(&axis.key, e.to_string()))?;
                    set_key(&mut tree, &axis.key, value.clone()).map_err(|e| argument(&axis.key, e))?;
                    let text = toml::to_string(&tree).map_err(|e| argument(&axis.key, e.to_string()))?;
                    point.scenario = Scenario::parse(&text, Path::new(&axis.key))?;
                }
                next.push(point);
            }
        }
        points = next;
    }
    Ok(points)
}

/// The figures of one point.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PointResult {
    /// The values, by axis.
    pub values: Vec<String>,
    /// Named means with Student's 95% interval over the days.
    pub figures: Vec<(String, Interval)>,
    /// Number of days on which a rule was broken.
    pub broken_days: usize,
}

/// Computes the figures of a point from its days.
pub fn summarize(point: &Point, days: &[DayResult]) -> PointResult {
    let all: Vec<_> = days.iter().map(|d| figures(&point.scenario, d)).collect();
    let names = all.first().map(|f| f.iter().map(|(n, _)| n.clone()).collect::<Vec<_>>()).unwrap_or_default();
    let figures = names.into_iter().enumerate().map(|(ix, name)| {
        let values: Vec<f64> = all.iter().map(|f| f[ix].1).collect();
        (name, t_interval(&values))
    });
    let broken_days = days.iter().filter(|d| d.broken_rules > 0).count();
    PointResult { values: point.values.clone(), figures: figures.collect(), broken_days }
}

/// Formats the results as a text table.
pub fn format_table(axes: &[Axis], results: &[PointResult]) -> String {
    let mut header: Vec<&str> = axes.iter().map(|a| a.key.as_str()).collect();
    let names: Vec<&str> =
        results.first().map(|s| s.figures.iter().map(|(n, _)| n.as_str()).collect()).unwrap_or_default();
    header.extend(names);
    header.push("broken days");
    let row = |s: &PointResult| {
        let mut row = s.values.clone();
        row.extend(s.figures.iter().map(|(_, i)| table::with_interval(i)));
        row.push(s.broken_days.to_string());
        row
    };
    table::plain(&header, results.iter().map(row).collect())
}
