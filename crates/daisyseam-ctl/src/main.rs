//! The entry point of the operator command line.

use daisyseam_ctl::{
    CtlOptions,
    run_command, //
};
use daisyseam_runtime::{
    SettingReader,
    exit, //
};
use std::io::{
    self,
    Write, //
};

fn main() {
    let options: CtlOptions = argh::from_env();
    let json = options.json;
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("daisyseam-ctl: cannot start the runtime: {error}");
            std::process::exit(exit::FAILURE);
        }
    };
    let result = runtime.block_on(run_command(options, SettingReader::from_environment()));
    let code = match result {
        Ok(output) if json => print(&format!("{}\n", output.json)),
        Ok(output) => print(&output.text),
        Err(failure) => {
            if json {
                print(&format!("{}\n", failure.to_json()));
            }
            eprintln!("daisyseam-ctl: {failure}");
            failure.exit_code()
        }
    };
    std::process::exit(code);
}

/// Prints text; returns a failure code instead of panicking if standard output is a closed pipe.
fn print(text: &str) -> i32 {
    match io::stdout().write_all(text.as_bytes()) {
        Ok(()) => exit::SUCCESS,
        Err(_) => exit::FAILURE,
    }
}
