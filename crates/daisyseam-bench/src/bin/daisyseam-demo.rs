//! Starts a small fleet on loopback, loads it, breaks parts of it, and shows that nothing was lost.

use argh::FromArgs;
use daisyseam_bench::{
    demo::{
        DemoPace,
        run_demo, //
    },
    fleet::{
        FleetPlan,
        example_key, //
    }, //
};
use daisyseam_runtime::exit;
use std::{
    io::{
        self,
        Write, //
    },
    process::ExitCode,
    time::Instant, //
};
use tokio::signal::ctrl_c;

/// Starts a small fleet on loopback in one process, submits `examples/shellrest.toml`, runs
/// callers while a primary is stopped and a data centre is taken out, and prints a table. Exit
/// codes: 0 no invariant broke, 1 one did or the fleet failed, 2 the command line is not valid.
#[derive(Debug, FromArgs)]
struct DemoOptions {
    /// keep the fleet running afterwards and print an address to connect to
    #[argh(switch)]
    keep: bool,
}

fn main() -> ExitCode {
    let options: DemoOptions = argh::from_env();
    let runtime = tokio::runtime::Runtime::new();
    let code = match runtime {
        Ok(runtime) => runtime.block_on(run(&options)),
        Err(error) => {
            eprintln!("the runtime does not start: {error}");
            exit::FAILURE
        }
    };
    ExitCode::from(u8::try_from(code).unwrap_or(1))
}

async fn run(options: &DemoOptions) -> i32 {
    let start = Instant::now();
    let progress = |words: &str| {
        say(&format!(
            "{:>6.1} s  {words}",
            start.elapsed().as_secs_f64()
        ))
    };
    let demo = run_demo(FleetPlan::shellrest(), DemoPace::default(), progress);
    let (summary, fleet) = match demo.await {
        Ok(done) => done,
        Err(error) => {
            eprintln!("the demo failed: {error}");
            return exit::FAILURE;
        }
    };
    say(&summary.table());
    if options.keep {
        let address = fleet.entries[0].caller_address();
        say(&format!(
            "connect with user swakop-shells, password {}, database bookings to {} port {}; \
             interrupt to end",
            example_key("swakop-shells"),
            address.ip(),
            address.port()
        ));
        if let Err(error) = ctrl_c().await {
            eprintln!("the interrupt cannot be awaited: {error}");
        }
    }
    match summary.violations() {
        0 => exit::SUCCESS,
        _ => exit::FAILURE,
    }
}

/// Prints a line; a reader that has gone is no reason to stop.
fn say(words: &str) {
    let _ = writeln!(io::stdout(), "{words}");
}
