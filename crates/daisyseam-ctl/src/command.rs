//! Commands and options of the command line.

use argh::FromArgs;

/// Check, compare and submit the document of a daisyseam fleet, and show what is in force.
///
/// Exit codes: 0 success, 1 failure, 2 invalid usage, 5 the document has errors, 6 another
/// submission took the number first, 7 no control instance answered.
#[derive(Clone, Debug, FromArgs)]
pub struct CtlOptions {
    /// control instances, IP:PORT separated by commas (DAISYSEAM_CONTROL)
    #[argh(option)]
    pub control: Option<String>,
    /// name of the cluster (DAISYSEAM_CLUSTER)
    #[argh(option)]
    pub cluster: Option<String>,
    /// timeout for a reply, in milliseconds, 10000 by default (DAISYSEAM_PATIENCE)
    #[argh(option)]
    pub patience: Option<String>,
    /// CA certificates of the fleet, PEM (DAISYSEAM_TLS_AUTHORITY)
    #[argh(option)]
    pub tls_authority: Option<String>,
    /// certificate of the operator, PEM (DAISYSEAM_TLS_CERTIFICATE)
    #[argh(option)]
    pub tls_certificate: Option<String>,
    /// private key of that certificate, PEM (DAISYSEAM_TLS_KEY)
    #[argh(option)]
    pub tls_key: Option<String>,
    /// print one JSON object instead of text
    #[argh(switch)]
    pub json: bool,
    /// command to run
    #[argh(subcommand)]
    pub command: CtlCommand,
}

/// A command.
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
    /// Manage keys.
    Key(KeyCommand),
    /// Print the JSON schema.
    Schema(SchemaCommand),
}

/// Validate a document without submitting it.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckCommand {
    /// document file
    #[argh(positional)]
    pub file: String,
}

/// Compare a document with the one in force.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffCommand {
    /// document file
    #[argh(positional)]
    pub file: String,
}

/// Submit a document in place of the one with the number before its own.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "submit")]
pub struct SubmitCommand {
    /// document file
    #[argh(positional)]
    pub file: String,
    /// identifier of the submission; use it again to query its result
    #[argh(option)]
    pub id: Option<String>,
    /// operator name for the history (DAISYSEAM_OPERATOR)
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
    /// maximum number of entries
    #[argh(option, default = "20")]
    pub limit: u64,
}

/// Show the state of the fleet.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {}

/// Manage the keys of organisations.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "key")]
pub struct KeyCommand {
    /// command to run
    #[argh(subcommand)]
    pub command: KeySubcommand,
}

/// A command for keys.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand)]
pub enum KeySubcommand {
    /// Create a key.
    New(KeyNewCommand),
}

/// Create a key. It is printed once and not stored; put its hash into the document.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "new")]
pub struct KeyNewCommand {}

/// Print the JSON schema of the document.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "schema")]
pub struct SchemaCommand {}
