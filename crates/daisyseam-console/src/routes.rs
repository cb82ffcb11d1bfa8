//! The routes: who may, what changes, which page answers.

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
/// Pause before the answer to a wrong password.
const REFUSAL_PAUSE: Duration = Duration::from_millis(500);
/// Form encoding can triple the bytes of a document.
const FORM_BYTES_MAX: usize = 3 * DOCUMENT_BYTES_MAX;

/// What every route works with.
#[derive(Clone)]
pub(crate) struct ConsoleState {
    pub(crate) operators: Arc<OperatorFile>,
    pub(crate) sessions: SessionTable,
    pub(crate) client: OperatorClient,
    pub(crate) timer: TimerService,
    pub(crate) secure_cookie: bool,
}

/// Returns the console's routes.
pub(crate) fn routes(state: ConsoleState) -> Router {
    Router::new()
        .route("/", get(show_fleet))
        .route("/login", get(show_login).post(sign_in))
        .route("/logout", post(sign_out))
        .route("/document", get(show_document))
        .route("/document/text", post(keep_text))
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
        .layer(middleware::map_response(harden))
        .with_state(state)
}

/// A signed-in operator and the secret of the cookie.
struct SignedIn {
    secret: String,
    session: OperatorSession,
}

impl FromRequestParts<ConsoleState> for SignedIn {
    type Rejection = Redirect;

    async fn from_request_parts(parts: &mut Parts, state: &ConsoleState) -> Result<Self, Redirect> {
        let secret = cookie(&parts.headers).ok_or_else(|| Redirect::to("/login"))?;
        let session = state
            .sessions
            .find(&secret, state.timer.now())
            .ok_or_else(|| Redirect::to("/login"))?;
        Ok(Self { secret, session })
    }
}

/// Why a form was not carried out.
enum FormRefusal {
    Forged,
    Draft(DraftError),
    Control(String),
}

impl IntoResponse for FormRefusal {
    fn into_response(self) -> Response {
        let (status, words) = match self {
            Self::Forged => (
                StatusCode::FORBIDDEN,
                "The form did not come from this session's pages; nothing was changed.".to_owned(),
            ),
            Self::Draft(error) => (StatusCode::UNPROCESSABLE_ENTITY, error.to_string()),
            Self::Control(error) => (StatusCode::BAD_GATEWAY, error),
        };
        (status, pages::message(None, "Not done", &words)).into_response()
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
    // Hashing takes long on purpose, so it stays off the threads that serve pages.
    let verify = tokio::task::spawn_blocking(move || operators.verify(&operator, &form.password));
    if !verify.await.unwrap_or(false) {
        log::warn!("a sign-in to the console was refused");
        state.timer.after(REFUSAL_PAUSE).await;
        let page = pages::login(Some("Operator or password is wrong."));
        return (StatusCode::UNAUTHORIZED, page).into_response();
    }
    let secret = state.sessions.open(&form.operator, state.timer.now());
    log::info!("operator {} signed in to the console", form.operator);
    let secure = if state.secure_cookie { "; Secure" } else { "" };
    let cookie = format!("{COOKIE_NAME}={secret}; HttpOnly; SameSite=Strict; Path=/{secure}");
    ([(SET_COOKIE, cookie)], Redirect::to("/")).into_response()
}

async fn sign_out(
    State(state): State<ConsoleState>,
    signed: SignedIn,
    Form(form): Form<TokenForm>,
) -> Result<Response, FormRefusal> {
    check_token(&signed, &form.form_token)?;
    state.sessions.close(&signed.secret);
    let cookie = format!("{COOKIE_NAME}=; Max-Age=0; Path=/");
    Ok(([(SET_COOKIE, cookie)], Redirect::to("/login")).into_response())
}

async fn show_fleet(State(state): State<ConsoleState>, signed: SignedIn) -> Markup {
    let status = match state.client.status().await {
        Ok(reply) => serde_json::from_str(&reply.json)
            .map(|status| (status, reply.stale))
            .map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    pages::fleet(&signed.session, status)
}

async fn show_document(
    State(state): State<ConsoleState>,
    signed: SignedIn,
) -> Result<Markup, FormRefusal> {
    let draft = draft(&state, &signed).await?;
    Ok(pages::document(&signed.session, &draft, None))
}

async fn show_difference(
    State(state): State<ConsoleState>,
    signed: SignedIn,
) -> Result<Markup, FormRefusal> {
    let draft = draft(&state, &signed).await?;
    Ok(pages::difference(&signed.session, &draft))
}

async fn keep_text(
    State(state): State<ConsoleState>,
    signed: SignedIn,
    Form(form): Form<TextForm>,
) -> Result<Redirect, FormRefusal> {
    // Browsers send line ends as CR LF.
    let text = form.text.replace("\r\n", "\n");
    change(&state, &signed, &form.form_token, |draft| {
        draft.replace_text(text);
        Ok(())
    })
    .await
}

async fn discard(
    State(state): State<ConsoleState>,
    signed: SignedIn,
    Form(form): Form<TokenForm>,
) -> Result<Redirect, FormRefusal> {
    check_token(&signed, &form.form_token)?;
    state.sessions.keep_draft(&signed.secret, None);
    Ok(Redirect::to("/document"))
}

async fn set_data_centre(
    State(state): State<ConsoleState>,
    signed: SignedIn,
    Form(form): Form<DataCentreForm>,
) -> Result<Redirect, FormRefusal> {
    change(&state, &signed, &form.form_token, |draft| {
        draft.set_data_centre(&form.name, form.state)
    })
    .await
}

async fn set_group(
    State(state): State<ConsoleState>,
    signed: SignedIn,
    Form(form): Form<GroupForm>,
) -> Result<Redirect, FormRefusal> {
    change(&state, &signed, &form.form_token, |draft| {
        draft.set_group(&form.name, &form.databases, &form.slots)
    })
    .await
}

async fn set_organisation(
    State(state): State<ConsoleState>,
    signed: SignedIn,
    Form(form): Form<OrganisationForm>,
) -> Result<Redirect, FormRefusal> {
    change(&state, &signed, &form.form_token, |draft| {
        draft.set_organisation(&form.name, &form.weight, &form.rate, &form.burst)
    })
    .await
}

async fn remove_organisation(
    State(state): State<ConsoleState>,
    signed: SignedIn,
    Form(form): Form<NameForm>,
) -> Result<Redirect, FormRefusal> {
    change(&state, &signed, &form.form_token, |draft| {
        draft.remove_organisation(&form.name)
    })
    .await
}

async fn add_key(
    State(state): State<ConsoleState>,
    signed: SignedIn,
    Form(form): Form<NewKeyForm>,
) -> Result<Markup, FormRefusal> {
    let key = new_key();
    let _ = change(&state, &signed, &form.form_token, |draft| {
        draft.add_key(&form.organisation, &key.hash)
    })
    .await?;
    Ok(pages::new_key(
        &signed.session,
        &form.organisation,
        &key.key,
    ))
}

async fn withdraw_key(
    State(state): State<ConsoleState>,
    signed: SignedIn,
    Form(form): Form<WithdrawForm>,
) -> Result<Redirect, FormRefusal> {
    change(&state, &signed, &form.form_token, |draft| {
        draft.withdraw_key(&form.organisation, &form.hash)
    })
    .await
}

async fn submit(
    State(state): State<ConsoleState>,
    signed: SignedIn,
    Form(form): Form<TokenForm>,
) -> Result<Response, FormRefusal> {
    check_token(&signed, &form.form_token)?;
    let draft = draft(&state, &signed).await?;
    let request = SubmitRequest {
        id: draft.submission().to_owned(),
        replaces: draft.base_number(),
        text: draft.text().to_owned(),
        operator: signed.session.operator.clone(),
    };
    let reply = state
        .client
        .submit(request)
        .await
        .map_err(|error| FormRefusal::Control(error.to_string()))?;
    if reply.accepted {
        state.sessions.keep_draft(&signed.secret, None);
        let words = format!("Document {} is accepted.", reply.number);
        return Ok(pages::message(Some(&signed.session), "Accepted", &words).into_response());
    }
    let words = match reply.winner.as_str() {
        "" => [reply.error, reply.problems.join("; ")].join(" "),
        winner => format!(
            "Submission {winner} already has number {}. The draft is kept; discard it to start \
             from the document in force.",
            draft.base_number() + 1
        ),
    };
    let page = pages::document(&signed.session, &draft, Some(&words));
    Ok((StatusCode::CONFLICT, page).into_response())
}

/// Returns the session's draft, or starts one from the document in force.
async fn draft(state: &ConsoleState, signed: &SignedIn) -> Result<DocumentDraft, FormRefusal> {
    if let Some(draft) = &signed.session.draft {
        return Ok(draft.clone());
    }
    let shown = state
        .client
        .show(0)
        .await
        .map_err(|error| FormRefusal::Control(error.to_string()))?;
    let id: u128 = rand::rng().random();
    let draft = DocumentDraft::start(shown.number, &shown.text, format!("{id:032x}"))
        .map_err(FormRefusal::Draft)?;
    state
        .sessions
        .keep_draft(&signed.secret, Some(draft.clone()));
    Ok(draft)
}

async fn change(
    state: &ConsoleState,
    signed: &SignedIn,
    token: &str,
    edit: impl FnOnce(&mut DocumentDraft) -> Result<(), DraftError>,
) -> Result<Redirect, FormRefusal> {
    check_token(signed, token)?;
    let mut draft = draft(state, signed).await?;
    edit(&mut draft).map_err(FormRefusal::Draft)?;
    state.sessions.keep_draft(&signed.secret, Some(draft));
    Ok(Redirect::to("/document"))
}

fn check_token(signed: &SignedIn, token: &str) -> Result<(), FormRefusal> {
    if signed.session.owns_form(token) {
        Ok(())
    } else {
        Err(FormRefusal::Forged)
    }
}

fn cookie(headers: &HeaderMap) -> Option<String> {
    headers
        .get_all(COOKIE)
        .iter()
        .filter_map(|header| header.to_str().ok())
        .flat_map(|header| header.split(';'))
        .filter_map(|pair| pair.trim().split_once('='))
        .find(|(name, _)| *name == COOKIE_NAME)
        .map(|(_, secret)| secret.to_owned())
}

/// Keeps pages out of caches, frames and scripts.
async fn harden(mut response: Response) -> Response {
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
