//! Result files of a comparison. All files are first written to a staging folder and then moved, so that a failed
//! write leaves the earlier results in place.

use std::fs;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;

use super::compare::Comparison;
use super::{chart, table};
use crate::LabError;

/// The result file from which the other files can be made again.
const COMPARISON_FILE: &str = "comparison.json";

/// Writes files to a folder by way of a staging folder. Files with the same names are replaced, others are kept.
pub fn write_files(dir: &Path, files: &[(&str, String)]) -> Result<(), LabError> {
    let parent = dir.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    fs::create_dir_all(parent).map_err(LabError::file(parent))?;
    let name = dir.file_name().map_or("results".into(), |n| n.to_string_lossy().into_owned());
    let staged = parent.join(format!(".{name}.part"));
    let remove_staged = |error: LabError| {
        // An incomplete set of files is of no use.
        let _ = fs::remove_dir_all(&staged);
        error
    };
    let _ = fs::remove_dir_all(&staged);
    fs::create_dir_all(&staged).map_err(LabError::file(&staged))?;
    for (name, text) in files {
        let path = staged.join(name);
        fs::write(&path, text).map_err(LabError::file(&path)).map_err(remove_staged)?;
    }
    fs::create_dir_all(dir).map_err(LabError::file(dir)).map_err(remove_staged)?;
    for (name, _) in files {
        let (from, to) = (staged.join(name), dir.join(name));
        fs::rename(&from, &to).map_err(LabError::file(&to)).map_err(remove_staged)?;
    }
    fs::remove_dir(&staged).map_err(LabError::file(&staged))
}

/// Writes the files of a comparison: its data as JSON, a CSV table, a Markdown report and charts.
pub fn write_comparison(dir: &Path, c: &Comparison) -> Result<(), LabError> {
    let mut all = vec![
        (COMPARISON_FILE, to_json(c)),
        ("table.csv", table::comparison_csv(c)),
        ("report.md", markdown_report(c)),
    ];
    all.extend(chart::all(c)?);
    write_files(dir, &all)
}

/// Formats data as indented JSON.
pub fn to_json<T: serde::Serialize>(data: &T) -> String {
    // The results consist of numbers and text only, so serialization does not fail.
    serde_json::to_string_pretty(data).unwrap_or_default() + "\n"
}

/// The Markdown report of a comparison.
fn markdown_report(c: &Comparison) -> String {
    let mut page = format!("# {}\n\n{}\n\n", c.scenario, c.about);
    page.push_str(&format!(
        "{} days (seeds {} to {}), {} calls. Means with 95% intervals; the days' own differences are taken out of \
         the arms' intervals, and the difference is paired by day.\n\n",
        c.seeds.len(),
        c.seeds.first().copied().unwrap_or(0),
        c.seeds.last().copied().unwrap_or(0),
        c.calls
    ));
    if c.baseline_broken_days > 0 {
        page.push_str(&format!("{} broke rules on {} days.\n\n", c.baseline, c.baseline_broken_days));
    }
    for candidate in &c.candidates {
        page.push_str(&format!("- `{}`: {}\n", candidate.name, candidate.about));
    }
    page.push_str(&format!("\n```\n{}```\n\n", table::comparison(c)));
    for (name, alt) in [
        ("figures.svg", "service with intervals"),
        ("service.svg", "service by second"),
        ("occupancy.svg", "occupancy"),
        ("wait.svg", "wait at the processors"),
        ("levels.svg", "levels of overload"),
    ] {
        page.push_str(&format!("![{alt}]({name})\n\n"));
    }
    page
}

/// Reads the comparison that is stored in a folder.
pub fn read_comparison(dir: &Path) -> Result<Comparison, LabError> {
    read_json(&dir.join(COMPARISON_FILE))
}

fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, LabError> {
    let text = fs::read_to_string(path).map_err(LabError::file(path))?;
    let de = &mut serde_json::Deserializer::from_str(&text);
    serde_path_to_error::deserialize(de).map_err(|e| {
        let (key, line) = (e.path().to_string(), e.inner().line());
        LabError::Key { path: PathBuf::from(path), line, key, what: e.into_inner().to_string() }
    })
}
