//! The command line's words.

use argh::FromArgs;

/// Check, compare and submit the document of a daisyseam fleet, and show what is in force.
///
/// Exit codes: 0 done, 1 failed, 2 wrong usage, 5 the document has errors, 6 another submission
/// won the number, 7 no control instance answered.
#[derive(Clone, Debug, FromArgs)]
pub struct CtlOptions {
    /// control instances, IP:PORT separated by commas (DAISYSEAM_CONTROL)
    #[argh(option)]
    pub control: Option<String>,
    /// name of the cluster (DAISYSEAM_CLUSTER)
    #[argh(option)]
    pub cluster: Option<String>,
    /// longest wait for an answer, in milliseconds, 10000 by default (DAISYSEAM_PATIENCE)
    #[argh(option)]
    pub patience: Option<String>,
    /// certificates of the fleet's authority, PEM (DAISYSEAM_TLS_AUTHORITY)
    #[argh(option)]
    pub tls_authority: Option<String>,
    /// the operator's certificate, PEM (DAISYSEAM_TLS_CERTIFICATE)
    #[argh(option)]
    pub tls_certificate: Option<String>,
    /// key of that certificate, PEM (DAISYSEAM_TLS_KEY)
    #[argh(option)]
    pub tls_key: Option<String>,
    /// print one JSON object in place of text
    #[argh(switch)]
    pub json: bool,
    /// what to do
    #[argh(subcommand)]
    pub command: CtlCommand,
}

/// What to do.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand)]
pub enum CtlCommand {
    /// Validate a file.
    Check(CheckCommand),
    /// Compare a file with the document in force.
    Diff(DiffCommand),
    /// Submit a file.
    Submit(SubmitCommand),
    /// Print a document.
    Show(ShowCommand),
    /// List accepted documents.
    History(HistoryCommand),
    /// Show the fleet.
    Status(StatusCommand),
    /// Work with keys.
    Key(KeyCommand),
    /// Print the JSON schema.
    Schema(SchemaCommand),
}

/// Validate a document without submitting it.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckCommand {
    /// file of the document
    #[argh(positional)]
    pub file: String,
}

/// Compare a document with the one in force.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffCommand {
    /// file of the document
    #[argh(positional)]
    pub file: String,
}

/// Submit a document in place of the one with the number before its own.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "submit")]
pub struct SubmitCommand {
    /// file of the document
    #[argh(positional)]
    pub file: String,
    /// identifier of the submission; repeat it to ask again what became of it
    #[argh(option)]
    pub id: Option<String>,
    /// name that the history shows (DAISYSEAM_OPERATOR)
    #[argh(option)]
    pub operator: Option<String>,
}

/// Print the document in force, or an earlier one.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowCommand {
    /// number of the document; the one in force by default
    #[argh(option, default = "0")]
    pub number: u64,
}

/// List the accepted documents, newest first.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryCommand {
    /// most entries to list
    #[argh(option, default = "20")]
    pub limit: u64,
}

/// Show what is in force where.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {}

/// Work with the keys of organisations.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "key")]
pub struct KeyCommand {
    /// what to do
    #[argh(subcommand)]
    pub task: KeyTask,
}

/// What to do with keys.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand)]
pub enum KeyTask {
    /// Make a key.
    New(KeyNewCommand),
}

/// Make a key; it is printed once and stored nowhere, its hash goes into the document.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "new")]
pub struct KeyNewCommand {}

/// Print the JSON schema of the document.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "schema")]
pub struct SchemaCommand {}
