//! What can go wrong outside the model itself. Each message names the file, and the line and key where there are
//! some.

use std::path::PathBuf;

use thiserror::Error;

/// An error that ends a command, with exit code 2.
#[derive(Debug, Error)]
pub enum LabError {
    /// A file can't be read or written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: std::io::Error,
    },
    /// A key of a file is missing, unknown or out of its range.
    #[error("{path}:{line}: {key}: {what}")]
    Key {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The key with the tables above it.
        key: String,
        /// What is wrong.
        what: String,
    },
    /// Keys that are fine one by one make no sense together.
    #[error("{path}: {key}: {what}")]
    Sense {
        /// The file.
        path: PathBuf,
        /// The key.
        key: String,
        /// What is wrong.
        what: String,
    },
    /// A line of a traffic file can't be used.
    #[error("{path}: record {record}: {what}")]
    Traffic {
        /// The file.
        path: PathBuf,
        /// Its record, from 1 after the header.
        record: u64,
        /// What is wrong.
        what: String,
    },
    /// A candidate that is a program has died, is silent or says what makes no sense.
    #[error("candidate '{name}': {what}")]
    Program {
        /// The candidate.
        name: String,
        /// What is wrong.
        what: String,
    },
    /// A capture can't be read or written.
    #[error("{path}: {source}")]
    Capture {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: mallowring::capture::frame::CaptureError,
    },
    /// An argument means nothing.
    #[error("{0}")]
    Argument(String),
    /// A chart can't be drawn.
    #[error("{path}: {what}")]
    Chart {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        what: String,
    },
}

impl LabError {
    /// A file error at a path.
    pub fn file(path: impl Into<PathBuf>) -> impl FnOnce(std::io::Error) -> LabError {
        let path = path.into();
        move |source| LabError::File { path, source }
    }
}
