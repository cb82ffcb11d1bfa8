//! The HTML pages of the console.

use crate::{
    DocumentDraft,
    sessions::OperatorSession, //
};
use daisyseam_model::document::{
    DataCentreState,
    Document,
    Severity, //
};
use maud::{
    DOCTYPE,
    Markup,
    html, //
};
use serde_json::Value;

/// Refresh interval of the fleet page, in seconds.
const REFRESH_SECONDS: u32 = 2;

const STYLE: &str = "
:root{color-scheme:light dark;font:16px/1.5 system-ui,sans-serif}
body{margin:0 auto;max-width:64rem;padding:0 1rem 3rem}
nav{display:flex;flex-wrap:wrap;gap:1rem;align-items:center;padding:.75rem 0;border-bottom:1px solid}
fieldset{margin:1rem 0;border:1px solid;border-radius:.4rem}
form.row{display:flex;flex-wrap:wrap;gap:.6rem;align-items:end;padding:.4rem 0}
label{display:flex;flex-direction:column;font-size:.85rem}
input,select,button,textarea{font:inherit;padding:.35rem .5rem;max-width:100%;box-sizing:border-box}
button{min-height:2.5rem}
textarea{width:100%;min-height:24rem;font-family:ui-monospace,monospace}
pre{overflow-x:auto;padding:.75rem;border:1px solid;border-radius:.4rem}
table{border-collapse:collapse;width:100%}th,td{text-align:left;padding:.3rem .6rem;border-bottom:1px solid}
.scroll{overflow-x:auto}.error{border-left:.4rem solid #c00;padding-left:.6rem}
.warning{border-left:.4rem solid #c80;padding-left:.6rem}
:focus-visible{outline:3px solid #06c;outline-offset:2px}
";

/// Renders the sign-in page.
pub(crate) fn login(error: Option<&str>) -> Markup {
    page(
        "Sign in",
        None,
        None,
        html! {
            @if let Some(error) = error { p.error role="alert" { (error) } }
            form method="post" action="/login" {
                label { "Operator" input name="operator" autocomplete="username" required autofocus; }
                label { "Password"
                    input name="password" type="password" autocomplete="current-password" required; }
                button { "Sign in" }
            }
        },
    )
}

/// Renders the page that shows the fleet, which refreshes itself.
pub(crate) fn fleet(session: &OperatorSession, status: Result<(Value, bool), String>) -> Markup {
    page(
        "Fleet",
        Some(session),
        Some(REFRESH_SECONDS),
        match status {
            Err(error) => html! { p.error role="alert" { (error) } },
            Ok((status, stale)) => html! {
                @if stale { p.warning { "This state may be stale: no leader is known." } }
                (status_sections(&status))
            },
        },
    )
}

/// Renders the page with the forms of the document.
pub(crate) fn document(
    session: &OperatorSession,
    draft: &DocumentDraft,
    notice: Option<&str>,
) -> Markup {
    let (document, problems) = draft.check();
    let token = &session.form_token;
    page(
        "Document",
        Some(session),
        None,
        html! {
            @if let Some(notice) = notice { p.error role="alert" { (notice) } }
            p { "This draft replaces document " (draft.base_number()) "." }
            @for problem in &problems {
                p class=(if problem.severity == Severity::Error { "error" } else { "warning" }) {
                    (problem)
                }
            }
            @if let Some(document) = &document {
                (data_centre_forms(document, token))
                (group_forms(document, token))
                (organisation_forms(document, token))
            }
            fieldset { legend { "Whole document" }
                form method="post" action="/document/text" {
                    (token_field(token))
                    label { "Text" textarea name="text" spellcheck="false" { (draft.text()) } }
                    button { "Update the draft" }
                }
            }
            form.row method="post" action="/document/discard" {
                (token_field(token)) button { "Discard the draft" }
            }
            p { a href="/difference" { "See the difference and submit" } }
        },
    )
}

/// Renders the page that shows the difference before submission.
pub(crate) fn difference(session: &OperatorSession, draft: &DocumentDraft) -> Markup {
    let (document, problems) = draft.check();
    let difference = draft.difference();
    page(
        "Difference",
        Some(session),
        None,
        html! {
            @for problem in &problems { p.warning { (problem) } }
            pre { (difference) }
            @if document.is_some() {
                form method="post" action="/submit" {
                    (token_field(&session.form_token))
                    button { "Submit in place of document " (draft.base_number()) }
                }
            } @else {
                p.error { "The draft has errors and cannot be submitted." }
            }
            p { a href="/document" { "Back to the forms" } }
        },
    )
}

/// Renders the page that shows a new key, which is not stored.
pub(crate) fn new_key(session: &OperatorSession, organisation: &str, key: &str) -> Markup {
    page(
        "New key",
        Some(session),
        None,
        html! {
            p { "The key of " strong { (organisation) } ", shown only once:" }
            pre { (key) }
            p { "The draft contains only its hash. The key is valid after the draft is submitted and accepted." }
            p { a href="/document" { "Back to the forms" } }
        },
    )
}

/// Renders a page with one message.
pub(crate) fn message(session: Option<&OperatorSession>, title: &str, text: &str) -> Markup {
    page(
        title,
        session,
        None,
        html! { p role="status" { (text) } p { a href="/" { "Fleet" } } },
    )
}

fn page(
    title: &str,
    session: Option<&OperatorSession>,
    refresh: Option<u32>,
    body: Markup,
) -> Markup {
    html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                @if let Some(seconds) = refresh {
                    meta http-equiv="refresh" content=(seconds);
                }
                title { (title) " - daisyseam" }
                style { (maud::PreEscaped(STYLE)) }
            }
            body {
                @if let Some(session) = session {
                    nav aria-label="Main" {
                        a href="/" { "Fleet" }
                        a href="/document" { "Document" }
                        a href="/difference" { "Difference" }
                        form method="post" action="/logout" {
                            (token_field(&session.form_token))
                            button { "Sign out " (session.operator) }
                        }
                    }
                }
                main { h1 { (title) } (body) }
            }
        }
    }
}

fn token_field(token: &str) -> Markup {
    html! { input type="hidden" name="form_token" value=(token); }
}

fn data_centre_forms(document: &Document, token: &str) -> Markup {
    html! {
        fieldset { legend { "Data centres" }
            @for (name, centre) in &document.data_centres {
                form.row method="post" action="/document/data-centre" {
                    (token_field(token))
                    input type="hidden" name="name" value=(name);
                    label { (name) " in " (centre.region)
                        select name="state" {
                            option value="active" selected[centre.state == DataCentreState::Active] { "in service" }
                            option value="out" selected[centre.state == DataCentreState::Out] { "out of service" }
                        }
                    }
                    button { "Set " (name) }
                }
            }
        }
    }
}

fn group_forms(document: &Document, token: &str) -> Markup {
    html! {
        fieldset { legend { "Databases" }
            @for (name, group) in &document.groups {
                form.row method="post" action="/document/group" {
                    (token_field(token))
                    input type="hidden" name="name" value=(name);
                    label { "Databases of " (name)
                        input name="databases" inputmode="numeric" value=(group.databases); }
                    label { "Slots each" input name="slots" inputmode="numeric" value=(group.slots); }
                    button { "Set " (name) }
                }
            }
        }
    }
}

fn organisation_forms(document: &Document, token: &str) -> Markup {
    html! {
        fieldset { legend { "Organisations" }
            @for (name, organisation) in &document.organisations {
                form.row method="post" action="/document/organisation" {
                    (token_field(token))
                    label { "Name" input name="name" value=(name) readonly; }
                    label { "Weight" input name="weight" inputmode="numeric" value=(organisation.weight); }
                    label { "Rate per second" input name="rate" inputmode="decimal" value=(organisation.rate); }
                    label { "Burst" input name="burst" inputmode="decimal" value=(organisation.burst); }
                    button { "Set " (name) }
                }
                @for key in &organisation.keys {
                    (key_form(name.as_str(), &key.hash, token))
                }
                form.row method="post" action="/document/key/new" {
                    (token_field(token))
                    input type="hidden" name="organisation" value=(name);
                    button { "New key for " (name) }
                }
                form.row method="post" action="/document/organisation/remove" {
                    (token_field(token))
                    input type="hidden" name="name" value=(name);
                    button { "Remove " (name) }
                }
            }
            form.row method="post" action="/document/organisation" {
                (token_field(token))
                label { "New organisation" input name="name" required; }
                label { "Weight" input name="weight" inputmode="numeric" value="1"; }
                label { "Rate per second" input name="rate" inputmode="decimal" required; }
                label { "Burst" input name="burst" inputmode="decimal" required; }
                button { "Add" }
            }
        }
    }
}

fn key_form(organisation: &str, hash: &[u8; 32], token: &str) -> Markup {
    let digits: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
    html! {
        form.row method="post" action="/document/key/withdraw" {
            (token_field(token))
            input type="hidden" name="organisation" value=(organisation);
            input type="hidden" name="hash" value={ "sha256:" (digits) };
            span { "Key " code { (digits[..12]) "…" } }
            button { "Withdraw key " (digits[..6]) " of " (organisation) }
        }
    }
}

/// Renders each part of the status: lists and maps of objects as tables, other values as text.
fn status_sections(status: &Value) -> Markup {
    let Value::Object(parts) = status else {
        return html! { pre { (format!("{status:#}")) } };
    };
    html! {
        @for (name, part) in parts {
            @match table_rows(part) {
                Some(rows) => { h2 { (name) } (table(&rows)) }
                None => { p { strong { (name) ": " } (cell_text(part)) } }
            }
        }
    }
}

/// Returns the rows of a list or map of objects, with their names in a map.
fn table_rows(part: &Value) -> Option<Vec<(String, &Value)>> {
    let rows: Vec<(String, &Value)> = match part {
        Value::Array(items) => items.iter().map(|item| (String::new(), item)).collect(),
        Value::Object(items) => items
            .iter()
            .map(|(name, item)| (name.clone(), item))
            .collect(),
        _ => return None,
    };
    let tabular = !rows.is_empty() && rows.iter().all(|(_, row)| row.is_object());
    tabular.then_some(rows)
}

fn table(rows: &[(String, &Value)]) -> Markup {
    let mut columns: Vec<&str> = Vec::new();
    for (_, row) in rows {
        for column in row.as_object().into_iter().flat_map(|row| row.keys()) {
            if !columns.contains(&column.as_str()) {
                columns.push(column);
            }
        }
    }
    html! {
        div.scroll { table {
            thead { tr { th { "name" } @for column in &columns { th { (column) } } } }
            tbody { @for (name, row) in rows {
                tr { td { (name) }
                    @for column in &columns { td { (cell_text(&row[*column])) } }
                }
            } }
        } }
    }
}

fn cell_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}
