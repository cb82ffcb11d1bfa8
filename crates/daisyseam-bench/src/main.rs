//! Runs experiments on a small fleet of its own and reports on saved results.

use argh::FromArgs;
use daisyseam_bench::experiments::{
    DeploymentShape,
    run_named, //
};
use daisyseam_runtime::exit;
use std::{
    io::{
        self,
        Write, //
    },
    process::ExitCode, //
};

/// Runs experiments; the last line of output is one JSON object. Exit codes: 0 no invariant broke,
/// 1 one did or the experiment failed, 2 the command line is not valid.
#[derive(Debug, FromArgs)]
struct BenchOptions {
    #[argh(subcommand)]
    command: BenchCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum BenchCommand {
    Run(RunCommand),
}

/// Runs one experiment.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
struct RunCommand {
    /// name of the experiment
    #[argh(positional)]
    name: String,
    /// seed of all random draws
    #[argh(option, default = "1")]
    seed: u64,
    /// firm whose places and delays are used: shellrest or brandvold
    #[argh(
        option,
        default = "DeploymentShape::Shellrest",
        from_str_fn(read_shape)
    )]
    shape: DeploymentShape,
    /// print the JSON object only
    #[argh(switch)]
    json: bool,
}

fn read_shape(name: &str) -> Result<DeploymentShape, String> {
    DeploymentShape::parse(name)
        .ok_or_else(|| format!("`{name}` is no shape: shellrest or brandvold"))
}

fn main() -> ExitCode {
    let options: BenchOptions = argh::from_env();
    let BenchCommand::Run(command) = options.command;
    let code = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime.block_on(run(&command)),
        Err(error) => {
            eprintln!("the runtime does not start: {error}");
            exit::FAILURE
        }
    };
    ExitCode::from(u8::try_from(code).unwrap_or(1))
}

async fn run(command: &RunCommand) -> i32 {
    let report = match run_named(&command.name, command.seed, command.shape).await {
        Ok(report) => report,
        Err(error) => {
            eprintln!("{error}");
            return exit::FAILURE;
        }
    };
    if !command.json {
        for (name, value) in &report.outcome.measures {
            let baseline = report.outcome.baseline.get(name);
            let baseline = baseline.map_or_else(String::new, |value| format!("{value:.3}"));
            say(&format!("{name:<32} {value:>16.3} {baseline:>16}"));
        }
    }
    match serde_json::to_string(&report) {
        Ok(line) => say(&line),
        Err(error) => eprintln!("the result cannot be written: {error}"),
    }
    match report.outcome.violations {
        0 => exit::SUCCESS,
        _ => exit::FAILURE,
    }
}

/// Prints a line; a reader that has gone is no reason to stop.
fn say(words: &str) {
    let _ = writeln!(io::stdout(), "{words}");
}
