//! The experiments that `daisyseam-bench run` knows.

mod overhead;

pub use self::overhead::Overhead;
use crate::experiment::{
    Experiment,
    ExperimentError,
    ExperimentReport,
    run_experiment, //
};

/// Names of all experiments.
pub const EXPERIMENT_NAMES: &[&str] = &[Overhead::NAME];

/// Runs an experiment by its name.
///
/// # Errors
///
/// When there is none of that name, or it could not be carried out.
pub async fn run_named(name: &str, seed: u64) -> Result<ExperimentReport, ExperimentError> {
    match name {
        Overhead::NAME => run_experiment::<Overhead>(seed).await,
        _ => Err(ExperimentError::Unknown(
            name.to_owned(),
            EXPERIMENT_NAMES.join(", "),
        )),
    }
}
