//! The console over HTTP, against a simulated control instance.

use daisyseam_console::{
    ConsoleServer,
    ConsoleSettings,
    OperatorFile,
    hash_password, //
};
use daisyseam_model::{
    ClusterId,
    document::Document, //
};
use daisyseam_wire::{
    ControlMessage,
    MessageStream,
    PeerSecurity,
    ShowReply,
    StatusReply,
    SubmitReply,
    SubmitRequest,
    control_message::Body, //
};
use reqwest::{
    Client,
    Response,
    StatusCode, //
};
use std::{
    io::Write,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};
use tempfile::NamedTempFile;
use test_case::test_case;
use tokio::net::TcpListener;

const DOCUMENT: &str = r#"# The clinic's fleet.
number = 1
cluster = "brandvold"

[[region]]
name = "saskatchewan"

[[data_centre]]
name = "saskatoon"
region = "saskatchewan"

[[data_centre]]
name = "regina"
region = "saskatchewan"
state = "active" # the newer one

[[group]]
name = "fittings-db"
databases = 3
slots = 5

[[service]]
name = "fittings"
group = "fittings-db"

[[organisation]]
name = "prairie-clinic"
rate = 20
burst = 40

[[organisation.key]]
hash = "sha256:00000000000000000000000000000000000000000000000000000000000000aa"
"#;

type Submissions = Arc<Mutex<Vec<SubmitRequest>>>;

/// Starts a control instance that replies as a leader with one document in force.
async fn start_control(winner: &'static str) -> (SocketAddr, Submissions) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let submissions = Submissions::default();
    let received = Arc::clone(&submissions);
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let cluster = ClusterId::new("brandvold").expect("a name");
            let mut stream = MessageStream::<_, ControlMessage>::new(socket, cluster);
            let request = stream.receive().await.expect("a request");
            let body = reply_to(request.body.expect("a body"), winner, &received);
            let reply = ControlMessage { body: Some(body) };
            stream.send(&reply).await.expect("the console is connected");
        }
    });
    (address, submissions)
}

fn reply_to(request: Body, winner: &str, received: &Submissions) -> Body {
    match request {
        Body::Show(_) => Body::Shown(ShowReply {
            number: 1,
            text: DOCUMENT.to_owned(),
            stale: false,
        }),
        Body::Status(_) => Body::StatusShown(StatusReply {
            json: r#"{"term":4,"instances":{"e1":{"view":9},"<b>":{"view":8}}}"#.to_owned(),
            stale: false,
        }),
        Body::Submit(request) => {
            received.lock().expect("no panic").push(request);
            Body::Submitted(SubmitReply {
                accepted: winner.is_empty(),
                number: 2,
                winner: winner.to_owned(),
                ..SubmitReply::default()
            })
        }
        other => panic!("unexpected request {other:?}"),
    }
}

struct Console {
    client: Client,
    base: String,
    submissions: Submissions,
    _server: ConsoleServer,
    _operators: NamedTempFile,
}

impl Console {
    async fn start(winner: &'static str) -> Self {
        let (control, submissions) = start_control(winner).await;
        let mut operators = NamedTempFile::new().expect("a temporary file");
        let hash = hash_password("tortoise").expect("a hash");
        writeln!(operators, "# operators\nana:{hash}").expect("the file is written");
        let settings = ConsoleSettings {
            cluster: ClusterId::new("brandvold").expect("a name"),
            control: vec![control],
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            operators: operators.path().to_owned(),
            timeout: Duration::from_secs(20),
            security: PeerSecurity::plain(ClusterId::new("brandvold").expect("a name")),
            secure_cookie: false,
        };
        let server = ConsoleServer::start(settings)
            .await
            .expect("the console starts");
        let client = Client::builder()
            .cookie_store(true)
            .build()
            .expect("a client");
        Self {
            client,
            base: format!("http://{}", server.address()),
            submissions,
            _server: server,
            _operators: operators,
        }
    }

    async fn signed_in(winner: &'static str) -> Self {
        let console = Self::start(winner).await;
        let form = [("operator", "ana"), ("password", "tortoise")];
        let response = console.post("/login", &form).await;
        assert_eq!(response.status(), StatusCode::OK);
        console
    }

    async fn get(&self, path: &str) -> String {
        let response = self.client.get(format!("{}{path}", self.base)).send().await;
        let response = response.expect("the console answers");
        response.text().await.expect("a page")
    }

    async fn post(&self, path: &str, form: &[(&str, &str)]) -> Response {
        let request = self.client.post(format!("{}{path}", self.base)).form(form);
        request.send().await.expect("the console answers")
    }

    async fn token(&self) -> String {
        let page = self.get("/document").await;
        let marker = "name=\"form_token\" value=\"";
        let start = page.find(marker).expect("a token") + marker.len();
        let length = page[start..].find('"').expect("its end");
        page[start..start + length].to_owned()
    }

    async fn post_with_token(&self, path: &str, form: &[(&str, &str)]) -> Response {
        let token = self.token().await;
        let mut form = form.to_vec();
        form.push(("form_token", &token));
        self.post(path, &form).await
    }
}

#[tokio::test]
async fn pages_require_a_sign_in() {
    let console = Console::start("").await;
    for path in ["/", "/document", "/difference"] {
        let page = console.get(path).await;
        assert!(page.contains("Password"), "{path}: {page}");
    }
    let response = console.post("/submit", &[("form_token", "x")]).await;
    assert!(response.url().path() == "/login");
    assert!(console.submissions.lock().expect("no panic").is_empty());
}

#[test_case("ana", "wrong"; "a wrong password")]
#[test_case("nobody", ""; "an unknown operator with the password of the dummy hash")]
#[tokio::test]
async fn a_wrong_sign_in_is_rejected(operator: &str, password: &str) {
    let console = Console::start("").await;
    let form = [("operator", operator), ("password", password)];
    let response = console.post("/login", &form).await;
    assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
    assert!(response.headers().get("set-cookie").is_none());
}

#[tokio::test]
async fn a_form_with_an_invalid_token_changes_nothing() {
    let console = Console::signed_in("").await;
    let form = [
        ("form_token", "forged"),
        ("name", "regina"),
        ("state", "out"),
    ];
    let response = console.post("/document/data-centre", &form).await;
    assert_eq!(response.status(), StatusCode::FORBIDDEN);
    let page = console.get("/difference").await;
    assert!(!page.contains("&quot;out&quot;"), "{page}");
}

#[tokio::test]
async fn forms_produce_the_document_and_keep_its_comments() {
    let console = Console::signed_in("").await;
    let form = [("name", "regina"), ("state", "out")];
    console
        .post_with_token("/document/data-centre", &form)
        .await;
    let form = [
        ("name", "prairie-clinic"),
        ("weight", "3"),
        ("rate", "25.5"),
        ("burst", "50"),
    ];
    console
        .post_with_token("/document/organisation", &form)
        .await;
    let form = [("name", "fittings-db"), ("databases", "5"), ("slots", "6")];
    console.post_with_token("/document/group", &form).await;
    let page = console
        .post_with_token("/document/key/new", &[("organisation", "prairie-clinic")])
        .await;
    let page = page.text().await.expect("a page");
    let key = page.find("dsk_").map(|start| &page[start..start + 47]);
    let key = key.expect("the key is shown");
    let difference = console.get("/difference").await;
    assert!(!difference.contains(key), "the key is shown only once");
    console.post_with_token("/submit", &[]).await;
    let submissions = console.submissions.lock().expect("no panic");
    let [request] = &submissions[..] else {
        panic!("one submission was expected");
    };
    assert_eq!((request.replaces, request.operator.as_str()), (1, "ana"));
    assert!(
        request
            .text
            .starts_with("# The clinic's fleet.\nnumber = 2\n")
    );
    assert!(request.text.contains("state = \"out\" # the newer one"));
    assert!(!request.text.contains(key));
    let document = Document::parse(&request.text).expect("it is valid");
    let organisation = &document.organisations["prairie-clinic"];
    assert_eq!((organisation.weight, organisation.rate), (3, 25.5));
    assert_eq!(organisation.keys.len(), 2);
    assert_eq!(document.groups["fittings-db"].slots, 6);
}

#[tokio::test]
async fn a_withdrawn_key_is_removed_from_the_draft() {
    let console = Console::signed_in("").await;
    let hash = "sha256:00000000000000000000000000000000000000000000000000000000000000aa";
    let form = [("organisation", "prairie-clinic"), ("hash", hash)];
    console
        .post_with_token("/document/key/withdraw", &form)
        .await;
    let page = console.get("/difference").await;
    assert!(
        page.contains(&format!("-hash = &quot;{hash}&quot;")),
        "{page}"
    );
    let again = console
        .post_with_token("/document/key/withdraw", &form)
        .await;
    assert_eq!(again.status(), StatusCode::UNPROCESSABLE_ENTITY);
}

#[tokio::test]
async fn a_rejected_submission_keeps_the_draft_and_names_the_accepted_one() {
    let console = Console::signed_in("other-console").await;
    let form = [("name", "regina"), ("state", "out")];
    console
        .post_with_token("/document/data-centre", &form)
        .await;
    let response = console.post_with_token("/submit", &[]).await;
    assert_eq!(response.status(), StatusCode::CONFLICT);
    let page = response.text().await.expect("a page");
    assert!(page.contains("other-console"), "{page}");
    let difference = console.get("/difference").await;
    assert!(difference.contains("out"), "the draft is kept");
}

#[tokio::test]
async fn an_invalid_draft_cannot_be_submitted_from_the_page() {
    let console = Console::signed_in("").await;
    let form = [("name", "fittings-db"), ("databases", "0"), ("slots", "5")];
    console.post_with_token("/document/group", &form).await;
    let page = console.get("/difference").await;
    assert!(page.contains("cannot be submitted"), "{page}");
    assert!(page.contains("outside 1 to 31"), "{page}");
}

#[tokio::test]
async fn the_fleet_page_refreshes_itself_and_escapes_what_it_shows() {
    let console = Console::signed_in("").await;
    let page = console.get("/").await;
    assert!(page.contains("http-equiv=\"refresh\""), "{page}");
    assert!(
        page.contains("&lt;b&gt;") && !page.contains("<b>"),
        "{page}"
    );
}

#[test_case("ana", 1; "no colon")]
#[test_case("# names\n\nana:plain-password", 3; "a plain text password")]
fn an_invalid_operators_file_is_rejected_with_its_line(text: &str, line: usize) {
    let error = OperatorFile::parse(text).expect_err("the line is invalid");
    assert!(
        error.to_string().contains(&format!("line {line} ")),
        "{error}"
    );
}
