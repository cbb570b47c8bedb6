//! Serves the simulator's protocol on standard input and output.

use std::io::{self, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let output = BufWriter::new(io::stdout().lock());
    match mallowring::wire::serve(io::stdin().lock(), output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mallowring-drill: {error}");
            ExitCode::FAILURE
        }
    }
}
