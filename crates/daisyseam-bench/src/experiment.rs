//! Experiments: each brings up what it needs, measures, and checks invariants meanwhile.

use displaydoc::Display;
use serde::Serialize;
use std::{
    collections::BTreeMap,
    error::Error,
    future::Future, //
};

/// Measures by name.
pub type MeasureTable = BTreeMap<String, f64>;

/// Why an experiment gave no result.
#[derive(Debug, Display)]
pub enum ExperimentError {
    /// there is no experiment `{0}`; there are {1}
    Unknown(String, String),
    /// the experiment failed: {0}
    Failed(String),
}

impl Error for ExperimentError {}

impl ExperimentError {
    /// Makes an error of anything that can be told.
    pub fn of(error: impl std::fmt::Display) -> Self {
        Self::Failed(error.to_string())
    }
}

/// What one run measured.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ExperimentOutcome {
    /// Broken invariants.
    pub violations: u64,
    /// Measures of the system.
    pub measures: MeasureTable,
    /// Measures of the baseline in the same run, under the same names where it has them.
    pub baseline: MeasureTable,
}

/// One experiment.
pub trait Experiment {
    /// Name on the command line.
    const NAME: &'static str;

    /// Runs it once.
    ///
    /// # Errors
    ///
    /// When it could not be carried out; a broken invariant is a result.
    fn run(seed: u64) -> impl Future<Output = Result<ExperimentOutcome, ExperimentError>>;
}

/// The result of one run, as the last line of output gives it.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentReport {
    /// Name of the experiment.
    pub experiment: String,
    /// Seed of the run.
    pub seed: u64,
    /// What was measured.
    #[serde(flatten)]
    pub outcome: ExperimentOutcome,
}

/// Runs an experiment and names the result.
///
/// # Errors
///
/// As [`Experiment::run`].
pub async fn run_experiment<E: Experiment>(seed: u64) -> Result<ExperimentReport, ExperimentError> {
    Ok(ExperimentReport {
        experiment: E::NAME.to_owned(),
        seed,
        outcome: E::run(seed).await?,
    })
}

/// Returns the value below which a share of the samples lies; nothing without samples.
pub fn quantile(samples: &mut [f64], share: f64) -> Option<f64> {
    samples.sort_by(f64::total_cmp);
    let last = samples.len().checked_sub(1)?;
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the share lies between 0 and 1 and samples are few"
    )]
    let index = (last as f64 * share).round() as usize;
    samples.get(index).copied()
}
