//! The experiments that `daisyseam-bench run` knows.

mod control_cost;
mod failover;
mod fairness;
mod overhead;
mod quota;
mod sessions;
mod shape;
mod traffic;

pub use self::{
    control_cost::ControlCost,
    failover::Failover,
    overhead::Overhead,
    shape::DeploymentShape, //
};
use crate::experiment::{
    Experiment,
    ExperimentError,
    ExperimentReport,
    run_experiment, //
};

/// Names of all experiments.
pub const EXPERIMENT_NAMES: &[&str] = &[
    Failover::NAME,
    Overhead::NAME,
    ControlCost::NAME,
    "fairness",
    "quota",
    "sessions",
];

/// Runs an experiment by its name.
///
/// # Errors
///
/// When there is none of that name, or it could not be carried out.
pub async fn run_named(
    name: &str,
    seed: u64,
    shape: DeploymentShape,
) -> Result<ExperimentReport, ExperimentError> {
    let outcome = match name {
        "fairness" => fairness::run(shape, seed).await?,
        "quota" => quota::run(shape, seed).await?,
        "sessions" => sessions::run(shape, seed).await?,
        Failover::NAME => return run_experiment::<Failover>(seed).await,
        Overhead::NAME => return run_experiment::<Overhead>(seed).await,
        ControlCost::NAME => return run_experiment::<ControlCost>(seed).await,
        _ => {
            return Err(ExperimentError::Unknown(
                name.to_owned(),
                EXPERIMENT_NAMES.join(", "),
            ));
        }
    };
    Ok(ExperimentReport {
        experiment: name.to_owned(),
        seed,
        outcome,
    })
}
