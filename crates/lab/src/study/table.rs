//! Text tables and CSV of results.

use comfy_table::presets::NOTHING;
use comfy_table::{CellAlignment, Table};

use super::compare::Comparison;
use super::stats::Interval;
use super::{figures, secondary_figures};
use crate::scenario::Scenario;
use crate::world::DayResult;

/// Formats a plain text table with a left-aligned first column and right-aligned other columns.
pub fn plain(header: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut table = Table::new();
    table.load_preset(NOTHING).set_header(header.iter().map(|h| (*h).to_owned()));
    for row in rows {
        table.add_row(row);
    }
    for (ix, column) in table.column_iter_mut().enumerate() {
        column.set_padding((0, 2));
        if ix > 0 {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    let lines: Vec<String> = table.to_string().lines().map(|l| l.trim_end().to_owned()).collect();
    lines.join("\n")
}

/// Formats a mean with half its interval, such as `0.8120 ± 0.0040`.
pub fn with_interval(i: &Interval) -> String {
    match i.half {
        Some(half) => format!("{:.4} ± {half:.4}", i.mean),
        None => format!("{:.4}", i.mean),
    }
}

/// Table of the days of one run.
pub fn days_table(scenario: &Scenario, results: &[DayResult]) -> String {
    let Some(first) = results.first() else { return String::new() };
    let names: Vec<String> = figures(scenario, first).into_iter().map(|(name, _)| name).collect();
    let mut header = vec!["seed", "exchanges", "calls"];
    header.extend(names.iter().map(String::as_str));
    header.push("broken rules");
    let mut rows: Vec<Vec<String>> = Vec::new();
    for day in results {
        let mut row = vec![day.seed.to_string(), day.exchanges.to_string(), day.calls.to_string()];
        row.extend(figures(scenario, day).iter().map(|(_, x)| format!("{x:.4}")));
        row.push(day.broken_rules.to_string());
        rows.push(row);
    }
    plain(&header, rows)
}

/// Table of the explanatory figures of one run, as means over its days.
pub fn secondary_table(scenario: &Scenario, results: &[DayResult]) -> String {
    let all: Vec<_> = results.iter().map(|d| secondary_figures(scenario, d)).collect();
    let Some(first) = all.first() else { return String::new() };
    let mean = |ix: usize| all.iter().map(|a| a[ix].1).sum::<f64>() / all.len() as f64;
    let rows = first.iter().enumerate().map(|(ix, (name, _))| vec![name.clone(), format!("{:.4}", mean(ix))]);
    plain(&["mean of the days", ""], rows.collect())
}

/// Tables of a comparison, with a summary sentence for each candidate.
pub fn comparison(c: &Comparison) -> String {
    let mut out = String::new();
    for candidate in &c.candidates {
        let rows = candidate.figures.iter().map(|f| {
            vec![
                f.name.clone(),
                with_interval(&f.baseline),
                with_interval(&f.candidate),
                with_interval(&f.difference),
                f.verdict.label().to_owned(),
                if f.apart { "apart" } else { "" }.to_owned(),
            ]
        });
        let header = ["", c.baseline.as_str(), candidate.name.as_str(), "difference", "verdict", "intervals"];
        out.push_str(&format!("{}\n\n", plain(&header, rows.collect())));
        let rows = candidate.secondary_figures.iter().map(|f| {
            vec![
                f.name.clone(),
                with_interval(&f.baseline),
                with_interval(&f.candidate),
                with_interval(&f.difference),
            ]
        });
        let header = ["to explain it", c.baseline.as_str(), candidate.name.as_str(), "difference"];
        out.push_str(&format!("{}\n\n", plain(&header, rows.collect())));
        out.push_str(&format!("{}: {}.\n", candidate.name, candidate.sentence));
    }
    out
}

/// A comparison as CSV.
pub fn comparison_csv(c: &Comparison) -> String {
    let mut writer = csv::Writer::from_writer(Vec::new());
    let number = |x: Option<f64>| x.map_or(String::new(), |x| format!("{x:.6}"));
    // Writing to memory does not fail.
    let _ = writer.write_record([
        "candidate",
        "figure",
        "baseline",
        "baseline_half",
        "value",
        "value_half",
        "difference",
        "difference_half",
        "verdict",
        "apart",
    ]);
    for candidate in &c.candidates {
        for f in &candidate.figures {
            let _ = writer.write_record([
                candidate.name.clone(),
                f.name.clone(),
                number(Some(f.baseline.mean)),
                number(f.baseline.half),
                number(Some(f.candidate.mean)),
                number(f.candidate.half),
                number(Some(f.difference.mean)),
                number(f.difference.half),
                f.verdict.label().to_owned(),
                f.apart.to_string(),
            ]);
        }
    }
    String::from_utf8(writer.into_inner().unwrap_or_default()).unwrap_or_default()
}
