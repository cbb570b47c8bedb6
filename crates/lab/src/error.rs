//! Errors of the lab. Each message names the file, and the line and key if they are known.

use std::path::PathBuf;

use thiserror::Error;

/// An error that ends a command, with exit code 2.
#[derive(Debug, Error)]
pub enum LabError {
    /// Reading or writing a file failed.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// Description of the error.
        source: std::io::Error,
    },
    /// A key of a file is missing, unknown or out of range.
    #[error("{path}:{line}: {key}: {what}")]
    Key {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The dotted path of the key.
        key: String,
        /// Description of the error.
        what: String,
    },
    /// A value is invalid or contradicts the value of another key; found after parsing, without a line number.
    #[error("{path}: {key}: {what}")]
    InvalidValue {
        /// The file.
        path: PathBuf,
        /// The key.
        key: String,
        /// Description of the error.
        what: String,
    },
    /// A record of a traffic file is invalid.
    #[error("{path}: record {record}: {what}")]
    Traffic {
        /// The file.
        path: PathBuf,
        /// Number of the record, from 1; the header is not counted.
        record: u64,
        /// Description of the error.
        what: String,
    },
    /// A candidate program exited, timed out or sent an invalid message.
    #[error("candidate '{name}': {what}")]
    Program {
        /// Name of the candidate.
        name: String,
        /// Description of the error.
        what: String,
    },
    /// Decoding or encoding a capture failed.
    #[error("{path}: {source}")]
    Capture {
        /// The file.
        path: PathBuf,
        /// Description of the error.
        source: mallowring::capture::frame::CaptureError,
    },
    /// An argument is invalid.
    #[error("{0}")]
    Argument(String),
    /// Drawing a chart failed.
    #[error("{path}: {what}")]
    Chart {
        /// The file.
        path: PathBuf,
        /// Description of the error.
        what: String,
    },
}

impl LabError {
    /// Converts an I/O error of the file at `path`.
    pub fn file(path: impl Into<PathBuf>) -> impl FnOnce(std::io::Error) -> LabError {
        let path = path.into();
        move |source| LabError::File { path, source }
    }
}
