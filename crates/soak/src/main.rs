//! The program `mallowring-soak`.

fn main() -> std::process::ExitCode {
    mallowring_soak::cli::main()
}
