//! Entry point of `mallowring-lab`; see `mallowring-lab --help`.

use std::process::ExitCode;

fn main() -> ExitCode {
    mallowring_lab::cli::main()
}
