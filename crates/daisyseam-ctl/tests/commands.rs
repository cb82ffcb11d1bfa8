//! The command line against a scripted control instance.

use daisyseam_ctl::{
    CtlFailure,
    CtlOptions,
    CtlOutput,
    run_command, //
};
use daisyseam_model::ClusterId;
use daisyseam_runtime::{
    SettingReader,
    exit, //
};
use daisyseam_wire::{
    ControlMessage,
    MessageStream,
    NotLeader,
    ShowReply,
    SubmitReply,
    control_message::Body, //
};
use std::{
    collections::BTreeMap,
    io::Write,
    net::SocketAddr, //
};
use tempfile::NamedTempFile;
use test_case::test_case;
use tokio::{
    net::TcpListener,
    task::JoinHandle, //
};

const DOCUMENT: &str = r#"number = 2
cluster = "shellrest"
region = [{ name = "khomas" }]
data_centre = [{ name = "khomas-1", region = "khomas" }]
group = [{ name = "g", databases = 3, slots = 5 }]
service = [{ name = "bookings", group = "g" }]

[[organisation]]
name = "swakop"
rate = 5
burst = 5
key = [{ hash = "sha256:0000000000000000000000000000000000000000000000000000000000000001" }]
"#;

/// What the scripted instance does with one connection.
enum ScriptStep {
    /// Replies to the request.
    Answer(Box<Body>),
    /// Closes the connection without a reply after it has read the request.
    Close,
}

/// Starts an instance that runs one step per connection; its task returns the received requests.
async fn start_instance(steps: Vec<ScriptStep>) -> (SocketAddr, JoinHandle<Vec<Body>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let task = tokio::spawn(async move {
        let mut requests = Vec::new();
        for step in steps {
            let (socket, _) = listener.accept().await.expect("a connection");
            let cluster = ClusterId::new("shellrest").expect("a name");
            let mut stream = MessageStream::<_, ControlMessage>::new(socket, cluster);
            let request = stream.receive().await.expect("a request");
            requests.push(request.body.expect("a body"));
            if let ScriptStep::Answer(body) = step {
                let reply = ControlMessage { body: Some(*body) };
                stream.send(&reply).await.expect("the client is connected");
            }
        }
        requests
    });
    (address, task)
}

fn document_file(text: &str) -> NamedTempFile {
    let mut file = NamedTempFile::new().expect("a temporary file");
    file.write_all(text.as_bytes())
        .expect("the file is written");
    file
}

async fn run(control: &str, arguments: &[&str]) -> Result<CtlOutput, CtlFailure> {
    let mut all = vec!["--control", control, "--cluster", "shellrest"];
    all.extend(arguments);
    let options = <CtlOptions as argh::FromArgs>::from_args(&["daisyseam-ctl"], &all)
        .expect("the arguments are valid");
    run_command(options, SettingReader::new(BTreeMap::new())).await
}

fn accepted(number: u64) -> Body {
    Body::Submitted(SubmitReply {
        accepted: true,
        number,
        ..SubmitReply::default()
    })
}

#[tokio::test]
async fn a_submission_is_redirected_to_the_leader_and_resent_with_its_id() {
    let (leader, leading) = start_instance(vec![
        ScriptStep::Close,
        ScriptStep::Answer(Box::new(accepted(2))),
    ])
    .await;
    let not_leader = || {
        ScriptStep::Answer(Box::new(Body::NotLeader(NotLeader {
            leader: leader.to_string(),
            term: 3,
        })))
    };
    let (follower, following) = start_instance(vec![not_leader(), not_leader()]).await;
    let file = document_file(DOCUMENT);
    let path = file.path().to_str().expect("a path");
    let output = run(&follower.to_string(), &["submit", path]).await;
    assert_eq!(output.expect("it is accepted").json["number"], 2);
    following.await.expect("the follower was asked twice");
    let requests = leading.await.expect("the leader was asked twice");
    let [Body::Submit(first), Body::Submit(second)] = &requests[..] else {
        panic!("two submissions were expected: {requests:?}");
    };
    assert_eq!(first.id, second.id, "a resend carries the same id");
    assert_eq!(first.replaces, 1);
}

#[tokio::test]
async fn a_rejected_submission_reports_the_accepted_one() {
    let reply = SubmitReply {
        number: 2,
        winner: "other".to_owned(),
        ..SubmitReply::default()
    };
    let (address, _task) =
        start_instance(vec![ScriptStep::Answer(Box::new(Body::Submitted(reply)))]).await;
    let file = document_file(DOCUMENT);
    let path = file.path().to_str().expect("a path");
    let failure = run(&address.to_string(), &["submit", path])
        .await
        .expect_err("another submission was accepted");
    assert_eq!(failure.exit_code(), exit::LOST_RACE);
    assert!(failure.to_string().contains("`other`"), "{failure}");
}

#[tokio::test]
async fn a_busy_reply_is_retried() {
    let busy = SubmitReply {
        busy: true,
        ..SubmitReply::default()
    };
    let steps = vec![
        ScriptStep::Answer(Box::new(Body::Submitted(busy))),
        ScriptStep::Answer(Box::new(accepted(2))),
    ];
    let (address, task) = start_instance(steps).await;
    let file = document_file(DOCUMENT);
    let path = file.path().to_str().expect("a path");
    run(&address.to_string(), &["submit", path])
        .await
        .expect("it is accepted in the end");
    assert_eq!(task.await.expect("two requests").len(), 2);
}

#[tokio::test]
async fn a_stale_reply_is_used_only_if_no_instance_has_a_current_one() {
    let shown = |number, stale| {
        let text = DOCUMENT.to_owned();
        ScriptStep::Answer(Box::new(Body::Shown(ShowReply {
            number,
            text,
            stale,
        })))
    };
    let (follower, _first) = start_instance(vec![shown(1, true), shown(1, true)]).await;
    let (leader, _second) = start_instance(vec![shown(2, false)]).await;
    let both = format!("{follower},{leader}");
    let output = run(&both, &["show"]).await.expect("a document");
    assert_eq!(output.json["number"], 2);
    let output = run(&follower.to_string(), &["show"])
        .await
        .expect("a document");
    assert_eq!(output.json["number"], 1);
    assert_eq!(output.json["stale"], true);
}

#[tokio::test]
async fn a_difference_is_shown_line_by_line() {
    let shown = ShowReply {
        number: 1,
        text: DOCUMENT.replace("rate = 5", "rate = 4"),
        stale: false,
    };
    let (address, _task) =
        start_instance(vec![ScriptStep::Answer(Box::new(Body::Shown(shown)))]).await;
    let file = document_file(DOCUMENT);
    let path = file.path().to_str().expect("a path");
    let output = run(&address.to_string(), &["diff", path])
        .await
        .expect("a difference");
    assert!(
        output.text.contains("-rate = 4\n+rate = 5\n"),
        "{}",
        output.text
    );
}

#[tokio::test]
async fn an_invalid_document_is_never_sent() {
    let file = document_file(&DOCUMENT.replace("slots = 5", "slots = 0"));
    let path = file.path().to_str().expect("a path");
    let failure = run("127.0.0.1:1", &["submit", path])
        .await
        .expect_err("it is not valid");
    assert_eq!(failure.exit_code(), exit::INVALID_DOCUMENT);
    assert!(failure.to_string().contains("5:"), "{failure}");
}

#[tokio::test]
async fn an_unreachable_control_is_reported_with_the_last_error() {
    let failure = run("127.0.0.1:1", &["--patience", "300", "status"])
        .await
        .expect_err("no instance listens");
    assert_eq!(failure.exit_code(), exit::UNREACHABLE);
    assert!(failure.to_string().contains("127.0.0.1:1"), "{failure}");
}

#[tokio::test]
async fn an_unknown_document_number_is_a_failure() {
    let (address, _task) = start_instance(vec![ScriptStep::Answer(Box::new(Body::Shown(
        ShowReply::default(),
    )))])
    .await;
    let failure = run(&address.to_string(), &["show", "--number", "9"])
        .await
        .expect_err("there is none");
    assert!(matches!(failure, CtlFailure::NoDocument(9)), "{failure}");
}

#[test_case(&["--control", "nowhere", "status"], 2, &["--cluster", "--control"]; "settings are listed together")]
#[test_case(&["check", "/nonexistent/document.toml"], 1, &["/nonexistent/document.toml"]; "a missing file is named")]
#[test_case(&["bogus"], 1, &["bogus"]; "an unknown command is named")]
fn the_program_reports_errors(arguments: &[&str], code: i32, expected: &[&str]) {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_daisyseam-ctl"))
        .args(arguments)
        .env_clear()
        .output()
        .expect("the program runs");
    assert_eq!(output.status.code(), Some(code));
    let stderr = String::from_utf8_lossy(&output.stderr);
    for text in expected {
        assert!(stderr.contains(text), "{stderr}");
    }
}

#[test]
fn a_new_key_is_the_preimage_of_its_hash() {
    use sha2::{
        Digest,
        Sha256, //
    };
    let key = daisyseam_ctl::new_key();
    let digest = Sha256::digest(key.key.as_bytes());
    assert_eq!(key.hash, format!("sha256:{}", hex::encode(digest)));
    assert_ne!(key.key, daisyseam_ctl::new_key().key);
}

#[test]
fn the_schema_names_every_section() {
    let schema = daisyseam_model::document::document_schema();
    for section in [
        "number",
        "cluster",
        "organisation",
        "open_route",
        "data_centre",
    ] {
        assert!(schema["properties"].get(section).is_some(), "{section}");
    }
}
