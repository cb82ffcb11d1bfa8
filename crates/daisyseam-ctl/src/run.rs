//! Execution of commands.

use crate::{
    CheckCommand,
    CtlCommand,
    CtlFailure,
    CtlOptions,
    CtlOutput,
    DiffCommand,
    KeySubcommand,
    SubmitCommand,
    new_key,
    output::{
        ProblemList,
        SettingList, //
    }, //
};
use daisyseam_model::{
    ClusterId,
    document::{
        Document,
        Problem,
        document_schema, //
    }, //
};
use daisyseam_runtime::{
    Dialer,
    OperatorClient,
    SecurityFlags,
    SettingReader,
    TimerService, //
};
use daisyseam_wire::{
    SubmitReply,
    SubmitRequest, //
};
use rand::Rng;
use serde_json::{
    Value,
    json, //
};
use similar::TextDiff;
use std::{
    net::SocketAddr,
    time::Duration, //
};

/// Default timeout for a reply.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs one command.
///
/// # Errors
///
/// [`CtlFailure`], which determines the exit code.
pub async fn run_command(
    options: CtlOptions,
    mut reader: SettingReader,
) -> Result<CtlOutput, CtlFailure> {
    match &options.command {
        CtlCommand::Check(command) => return check(command),
        CtlCommand::Key(command) => match command.command {
            KeySubcommand::New(_) => return Ok(key_output()),
        },
        CtlCommand::Schema(_) => return Ok(schema_output()),
        _ => {}
    }
    let operator = match &options.command {
        CtlCommand::Submit(command) => reader.optional("operator", command.operator.clone()),
        _ => None,
    };
    let client = connect(&options, reader)?;
    match options.command {
        CtlCommand::Diff(command) => diff(&client, &command).await,
        CtlCommand::Submit(command) => submit(&client, command, operator).await,
        CtlCommand::Show(command) => show(&client, command.number).await,
        CtlCommand::History(command) => history(&client, command.limit).await,
        _ => status(&client).await,
    }
}

fn connect(options: &CtlOptions, mut reader: SettingReader) -> Result<OperatorClient, CtlFailure> {
    let cluster = reader.required::<ClusterId>("cluster", options.cluster.clone());
    let addresses = reader.list::<SocketAddr>("control", options.control.clone());
    let timeout = reader.millis("patience", options.patience.clone(), DEFAULT_TIMEOUT);
    if addresses.is_empty() {
        reader.problem("control", "names no control instance".to_owned());
    }
    let flags = SecurityFlags {
        authority: options.tls_authority.clone(),
        certificate: options.tls_certificate.clone(),
        key: options.tls_key.clone(),
    };
    let security = cluster
        .as_ref()
        .and_then(|cluster| flags.read(&mut reader, cluster));
    let (cluster, security) = reader
        .finish(cluster.zip(security))
        .map_err(|problems| CtlFailure::Settings(SettingList(problems)))?;
    let timer = TimerService::start();
    Ok(OperatorClient::new(
        cluster,
        addresses,
        Dialer::default(),
        security,
        timer,
        timeout,
    ))
}

fn check(command: &CheckCommand) -> Result<CtlOutput, CtlFailure> {
    let text = read_file(&command.file)?;
    let (document, problems) = read_document(&text)?;
    let mut lines = String::new();
    for problem in &problems {
        lines.push_str(&format!("{}:{problem}\n", command.file));
    }
    lines.push_str(&format!("document {} is valid\n", document.number.0));
    Ok(CtlOutput {
        text: lines,
        json: json!({"valid": true, "number": document.number.0, "problems": problems}),
    })
}

async fn diff(client: &OperatorClient, command: &DiffCommand) -> Result<CtlOutput, CtlFailure> {
    let text = read_file(&command.file)?;
    let shown = client.show(0).await.map_err(CtlFailure::Operator)?;
    let diff = TextDiff::from_lines(&shown.text, &text);
    let name = format!("document {}", shown.number);
    let unified = diff.unified_diff().header(&name, &command.file).to_string();
    Ok(CtlOutput {
        json: json!({"number": shown.number, "diff": unified}),
        text: unified,
    })
}

async fn submit(
    client: &OperatorClient,
    command: SubmitCommand,
    operator: Option<String>,
) -> Result<CtlOutput, CtlFailure> {
    let text = read_file(&command.file)?;
    let (document, _) = read_document(&text)?;
    let number = document.number.0;
    let id = command.id.unwrap_or_else(new_submission_id);
    let request = SubmitRequest {
        id: id.clone(),
        replaces: number - 1,
        text,
        operator: operator.unwrap_or_default(),
    };
    let reply = client.submit(request).await.map_err(CtlFailure::Operator)?;
    if !reply.accepted {
        return Err(rejection(number, reply));
    }
    Ok(CtlOutput {
        text: format!("accepted as document {} (submission {id})\n", reply.number),
        json: json!({"accepted": true, "number": reply.number, "id": id}),
    })
}

fn rejection(number: u64, reply: SubmitReply) -> CtlFailure {
    if !reply.winner.is_empty() {
        return CtlFailure::LostRace {
            number,
            winner: reply.winner,
        };
    }
    let mut message = reply.error;
    for problem in reply.problems {
        message.push_str("\n  ");
        message.push_str(&problem);
    }
    CtlFailure::Refused(message)
}

async fn show(client: &OperatorClient, number: u64) -> Result<CtlOutput, CtlFailure> {
    let reply = client.show(number).await.map_err(CtlFailure::Operator)?;
    if reply.number == 0 {
        return Err(CtlFailure::NoDocument(number));
    }
    Ok(CtlOutput {
        json: json!({"number": reply.number, "stale": reply.stale, "text": reply.text}),
        text: reply.text,
    })
}

async fn history(client: &OperatorClient, limit: u64) -> Result<CtlOutput, CtlFailure> {
    let entries = client.history(limit).await.map_err(CtlFailure::Operator)?;
    let mut text = String::new();
    let mut rows = Vec::new();
    for entry in entries {
        text.push_str(&format!(
            "{:>6}  {}  {}  {}\n",
            entry.number, entry.accepted_unix_ms, entry.id, entry.operator
        ));
        rows.push(json!({
            "number": entry.number,
            "id": entry.id,
            "operator": entry.operator,
            "accepted_unix_ms": entry.accepted_unix_ms,
        }));
    }
    Ok(CtlOutput {
        text,
        json: Value::Array(rows),
    })
}

async fn status(client: &OperatorClient) -> Result<CtlOutput, CtlFailure> {
    let reply = client.status().await.map_err(CtlFailure::Operator)?;
    let json: Value = serde_json::from_str(&reply.json).unwrap_or(Value::String(reply.json));
    let mut text = String::new();
    if reply.stale {
        text.push_str("this reply may be stale: no leader is known\n");
    }
    text.push_str(&format!("{json:#}\n"));
    Ok(CtlOutput {
        text,
        json: json!({"stale": reply.stale, "status": json}),
    })
}

fn key_output() -> CtlOutput {
    let key = new_key();
    CtlOutput {
        text: format!(
            "key:  {}\nhash: {}\nThe key is shown only once. Put its hash into the document.\n",
            key.key, key.hash
        ),
        json: json!({"key": key.key, "hash": key.hash}),
    }
}

fn schema_output() -> CtlOutput {
    let schema = document_schema();
    CtlOutput {
        text: format!("{schema:#}\n"),
        json: schema,
    }
}

fn read_file(path: &str) -> Result<String, CtlFailure> {
    std::fs::read_to_string(path).map_err(|error| CtlFailure::File {
        path: path.to_owned(),
        error,
    })
}

fn read_document(text: &str) -> Result<(Document, Vec<Problem>), CtlFailure> {
    match Document::check(text) {
        (Some(document), problems) => Ok((document, problems)),
        (None, problems) => Err(CtlFailure::Document(ProblemList(problems))),
    }
}

fn new_submission_id() -> String {
    let bytes: [u8; 12] = rand::rng().random();
    hex::encode(bytes)
}
