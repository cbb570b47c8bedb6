//! The signalling proxy: reads its configuration and runs until it is told to stop.

use std::process::ExitCode;

use mallowring::config::Config;
use mallowring::net::supervision;
use mallowring::{net, telemetry};

fn main() -> ExitCode {
    let env = std::env::vars().collect();
    let config = match Config::read(&env) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("mallowring: {error}");
            return ExitCode::FAILURE;
        }
    };
    let subscriber = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false);
    subscriber.with_max_level(config.log_level).init();
    supervision::log_panics();
    telemetry::install();
    match net::Node::bind(config).and_then(net::Node::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "the signalling proxy failed");
            ExitCode::FAILURE
        }
    }
}
