//! The HTTP routes: authentication, changes to the draft and responses.

use crate::{
    DocumentDraft,
    DraftError,
    OperatorFile,
    pages,
    sessions::{
        OperatorSession,
        SessionTable, //
    }, //
};
use axum::{
    Router,
    extract::{
        DefaultBodyLimit,
        Form,
        FromRequestParts,
        State, //
    },
    http::{
        HeaderMap,
        HeaderValue,
        StatusCode,
        header::{
            CACHE_CONTROL,
            CONTENT_SECURITY_POLICY,
            COOKIE,
            SET_COOKIE, //
            X_CONTENT_TYPE_OPTIONS,
            X_FRAME_OPTIONS,
        },
        request::Parts, //
    },
    middleware,
    response::{
        IntoResponse,
        Redirect,
        Response, //
    },
    routing::{
        get,
        post, //
    }, //
};
use daisyseam_ctl::new_key;
use daisyseam_model::document::{
    DOCUMENT_BYTES_MAX,
    DataCentreState, //
};
use daisyseam_runtime::{
    OperatorClient,
    TimerService, //
};
use daisyseam_wire::SubmitRequest;
use maud::Markup;
use rand::Rng;
use serde::Deserialize;
use std::{
    sync::Arc,
    time::Duration, //
};
use zeroize::Zeroizing;

/// Name of the session cookie.
const COOKIE_NAME: &str = "daisyseam_console";
/// Delay of the response to a wrong password.
const FAILED_LOGIN_DELAY: Duration = Duration::from_millis(500);
/// Maximum size of a form; form encoding can triple the size of a document.
const FORM_BYTES_MAX: usize = 3 * DOCUMENT_BYTES_MAX;

/// Shared state of all routes.
#[derive(Clone)]
pub(crate) struct ConsoleState {
    pub(crate) operators: Arc<OperatorFile>,
    pub(crate) sessions: SessionTable,
    pub(crate) client: OperatorClient,
    pub(crate) timer: TimerService,
    pub(crate) secure_cookie: bool,
}

/// Returns the routes of the console.
pub(crate) fn routes(state: ConsoleState) -> Router {
    Router::new()
        .route("/", get(show_fleet))
        .route("/login", get(show_login).post(sign_in))
        .route("/logout", post(sign_out))
        .route("/document", get(show_document))
        .route("/document/text", post(set_text))
        .route("/document/discard", post(discard))
        .route("/document/data-centre", post(set_data_centre))
        .route("/document/group", post(set_group))
        .route("/document/organisation", post(set_organisation))
        .route("/document/organisation/remove", post(remove_organisation))
        .route("/document/key/new", post(add_key))
        .route("/document/key/withdraw", post(withdraw_key))
        .route("/difference", get(show_difference))
        .route("/submit", post(submit))
        .layer(DefaultBodyLimit::max(FORM_BYTES_MAX))
        .layer(middleware::map_response(add_security_headers))
        .with_state(state)
}

/// The session of a request and the secret from its cookie.
struct CurrentSession {
    secret: String,
    session: OperatorSession,
}

impl FromRequestParts<ConsoleState> for CurrentSession {
    type Rejection = Redirect;

    async fn from_request_parts(parts: &mut Parts, state: &ConsoleState) -> Result<Self, Redirect> {
        let secret = session_cookie(&parts.headers).ok_or_else(|| Redirect::to("/login"))?;
        let session = state
            .sessions
            .find(&secret, state.timer.now())
            .ok_or_else(|| Redirect::to("/login"))?;
        Ok(Self { secret, session })
    }
}

/// Why a request was rejected.
enum RequestError {
    InvalidToken,
    Draft(DraftError),
    Control(String),
}

impl IntoResponse for RequestError {
    fn into_response(self) -> Response {
        let (status, message) = match self {
            Self::InvalidToken => (
                StatusCode::FORBIDDEN,
                "The form does not belong to this session; no change was made.".to_owned(),
            ),
            Self::Draft(error) => (StatusCode::UNPROCESSABLE_ENTITY, error.to_string()),
            Self::Control(error) => (StatusCode::BAD_GATEWAY, error),
        };
        (status, pages::message(None, "Request failed", &message)).into_response()
    }
}

#[derive(Deserialize)]
struct LoginForm {
    operator: String,
    password: Zeroizing<String>,
}

#[derive(Deserialize)]
struct TokenForm {
    form_token: String,
}

#[derive(Deserialize)]
struct TextForm {
    form_token: String,
    text: String,
}

#[derive(Deserialize)]
struct DataCentreForm {
    form_token: String,
    name: String,
    state: DataCentreState,
}

#[derive(Deserialize)]
struct GroupForm {
    form_token: String,
    name: String,
    databases: String,
    slots: String,
}

#[derive(Deserialize)]
struct OrganisationForm {
    form_token: String,
    name: String,
    weight: String,
    rate: String,
    burst: String,
}

#[derive(Deserialize)]
struct NameForm {
    form_token: String,
    name: String,
}

#[derive(Deserialize)]
struct NewKeyForm {
    form_token: String,
    organisation: String,
}

#[derive(Deserialize)]
struct WithdrawForm {
    form_token: String,
    organisation: String,
    hash: String,
}

async fn show_login() -> Markup {
    pages::login(None)
}

async fn sign_in(State(state): State<ConsoleState>, Form(form): Form<LoginForm>) -> Response {
    let operators = Arc::clone(&state.operators);
    let operator = form.operator.clone();
    // Password hashing is slow by design, so it runs outside the threads that serve requests.
    let verify = tokio::task::spawn_blocking(move || operators.verify(&operator, &form.password));
    if !verify.await.unwrap_or(false) {
        log::warn!("a sign-in to the console was rejected");
        state.timer.after(FAILED_LOGIN_DELAY).await;
        let page = pages::login(Some("The operator or the password is wrong."));
        return (StatusCode::UNAUTHORIZED, page).into_response();
    }
    let secret = state.sessions.create(&form.operator, state.timer.now());
    log::info!("operator {} signed in to the console", form.operator);
    let secure = if state.secure_cookie { "; Secure" } else { "" };
    let cookie = format!("{COOKIE_NAME}={secret}; HttpOnly; SameSite=Strict; Path=/{secure}");
    ([(SET_COOKIE, cookie)], Redirect::to("/")).into_response()
}

async fn sign_out(
    State(state): State<ConsoleState>,
    current: CurrentSession,
    Form(form): Form<TokenForm>,
) -> Result<Response, RequestError> {
    check_token(&current, &form.form_token)?;
    state.sessions.remove(&current.secret);
    let cookie = format!("{COOKIE_NAME}=; Max-Age=0; Path=/");
    Ok(([(SET_COOKIE, cookie)], Redirect::to("/login")).into_response())
}

async fn show_fleet(State(state): State<ConsoleState>, current: CurrentSession) -> Markup {
    let status = match state.client.status().await {
        Ok(reply) => serde_json::from_str(&reply.json)
            .map(|status| (status, reply.stale))
            .map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    pages::fleet(&current.session, status)
}

async fn show_document(
    State(state): State<ConsoleState>,
    current: CurrentSession,
) -> Result<Markup, RequestError> {
    let draft = load_draft(&state, &current).await?;
    Ok(pages::document(&current.session, &draft, None))
}

async fn show_difference(
    State(state): State<ConsoleState>,
    current: CurrentSession,
) -> Result<Markup, RequestError> {
    let draft = load_draft(&state, &current).await?;
    Ok(pages::difference(&current.session, &draft))
}

async fn set_text(
    State(state): State<ConsoleState>,
    current: CurrentSession,
    Form(form): Form<TextForm>,
) -> Result<Redirect, RequestError> {
    // Browsers send line breaks as CR LF.
    let text = form.text.replace("\r\n", "\n");
    edit_draft(&state, &current, &form.form_token, |draft| {
        draft.replace_text(text);
        Ok(())
    })
    .await
}

async fn discard(
    State(state): State<ConsoleState>,
    current: CurrentSession,
    Form(form): Form<TokenForm>,
) -> Result<Redirect, RequestError> {
    check_token(&current, &form.form_token)?;
    state.sessions.set_draft(&current.secret, None);
    Ok(Redirect::to("/document"))
}

async fn set_data_centre(
    State(state): State<ConsoleState>,
    current: CurrentSession,
    Form(form): Form<DataCentreForm>,
) -> Result<Redirect, RequestError> {
    edit_draft(&state, &current, &form.form_token, |draft| {
        draft.set_data_centre(&form.name, form.state)
    })
    .await
}

async fn set_group(
    State(state): State<ConsoleState>,
    current: CurrentSession,
    Form(form): Form<GroupForm>,
) -> Result<Redirect, RequestError> {
    edit_draft(&state, &current, &form.form_token, |draft| {
        draft.set_group(&form.name, &form.databases, &form.slots)
    })
    .await
}

async fn set_organisation(
    State(state): State<ConsoleState>,
    current: CurrentSession,
    Form(form): Form<OrganisationForm>,
) -> Result<Redirect, RequestError> {
    edit_draft(&state, &current, &form.form_token, |draft| {
        draft.set_organisation(&form.name, &form.weight, &form.rate, &form.burst)
    })
    .await
}

async fn remove_organisation(
    State(state): State<ConsoleState>,
    current: CurrentSession,
    Form(form): Form<NameForm>,
) -> Result<Redirect, RequestError> {
    edit_draft(&state, &current, &form.form_token, |draft| {
        draft.remove_organisation(&form.name)
    })
    .await
}

async fn add_key(
    State(state): State<ConsoleState>,
    current: CurrentSession,
    Form(form): Form<NewKeyForm>,
) -> Result<Markup, RequestError> {
    let key = new_key();
    let _ = edit_draft(&state, &current, &form.form_token, |draft| {
        draft.add_key(&form.organisation, &key.hash)
    })
    .await?;
    Ok(pages::new_key(
        &current.session,
        &form.organisation,
        &key.key,
    ))
}

async fn withdraw_key(
    State(state): State<ConsoleState>,
    current: CurrentSession,
    Form(form): Form<WithdrawForm>,
) -> Result<Redirect, RequestError> {
    edit_draft(&state, &current, &form.form_token, |draft| {
        draft.withdraw_key(&form.organisation, &form.hash)
    })
    .await
}

async fn submit(
    State(state): State<ConsoleState>,
    current: CurrentSession,
    Form(form): Form<TokenForm>,
) -> Result<Response, RequestError> {
    check_token(&current, &form.form_token)?;
    let draft = load_draft(&state, &current).await?;
    let request = SubmitRequest {
        id: draft.submission().to_owned(),
        replaces: draft.base_number(),
        text: draft.text().to_owned(),
        operator: current.session.operator.clone(),
    };
    let reply = state
        .client
        .submit(request)
        .await
        .map_err(|error| RequestError::Control(error.to_string()))?;
    if reply.accepted {
        state.sessions.set_draft(&current.secret, None);
        let message = format!("Document {} was accepted.", reply.number);
        return Ok(pages::message(Some(&current.session), "Accepted", &message).into_response());
    }
    let message = match reply.winner.as_str() {
        "" => [reply.error, reply.problems.join("; ")].join(" "),
        winner => format!(
            "Submission {winner} already has number {}. The draft is kept; discard it to start \
             from the document in force.",
            draft.base_number() + 1
        ),
    };
    let page = pages::document(&current.session, &draft, Some(&message));
    Ok((StatusCode::CONFLICT, page).into_response())
}

/// Returns the session's draft, or starts one from the document in force.
async fn load_draft(
    state: &ConsoleState,
    current: &CurrentSession,
) -> Result<DocumentDraft, RequestError> {
    if let Some(draft) = &current.session.draft {
        return Ok(draft.clone());
    }
    let shown = state
        .client
        .show(0)
        .await
        .map_err(|error| RequestError::Control(error.to_string()))?;
    let id: u128 = rand::rng().random();
    let draft = DocumentDraft::start(shown.number, &shown.text, format!("{id:032x}"))
        .map_err(RequestError::Draft)?;
    state
        .sessions
        .set_draft(&current.secret, Some(draft.clone()));
    Ok(draft)
}

/// Checks the form token, edits the draft and stores it in the session.
async fn edit_draft(
    state: &ConsoleState,
    current: &CurrentSession,
    token: &str,
    edit: impl FnOnce(&mut DocumentDraft) -> Result<(), DraftError>,
) -> Result<Redirect, RequestError> {
    check_token(current, token)?;
    let mut draft = load_draft(state, current).await?;
    edit(&mut draft).map_err(RequestError::Draft)?;
    state.sessions.set_draft(&current.secret, Some(draft));
    Ok(Redirect::to("/document"))
}

fn check_token(current: &CurrentSession, token: &str) -> Result<(), RequestError> {
    if current.session.has_form_token(token) {
        Ok(())
    } else {
        Err(RequestError::InvalidToken)
    }
}

fn session_cookie(headers: &HeaderMap) -> Option<String> {
    headers
        .get_all(COOKIE)
        .iter()
        .filter_map(|header| header.to_str().ok())
        .flat_map(|header| header.split(';'))
        .filter_map(|pair| pair.trim().split_once('='))
        .find(|(name, _)| *name == COOKIE_NAME)
        .map(|(_, secret)| secret.to_owned())
}

/// Adds headers that prevent caching, framing and scripts.
async fn add_security_headers(mut response: Response) -> Response {
    let headers = response.headers_mut();
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    headers.insert(X_FRAME_OPTIONS, HeaderValue::from_static("DENY"));
    headers.insert(X_CONTENT_TYPE_OPTIONS, HeaderValue::from_static("nosniff"));
    headers.insert(
        CONTENT_SECURITY_POLICY,
        HeaderValue::from_static(
            "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; \
             frame-ancestors 'none'; base-uri 'none'",
        ),
    );
    response
}
