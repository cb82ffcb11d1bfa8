//! Whether a query changes nothing.

use super::{
    StatementKind,
    functions::is_harmless, //
};
use smallvec::SmallVec;
use sqlparser::ast::{
    BinaryOperator,
    Expr,
    ObjectName,
    Query,
    Select,
    SetExpr,
    Statement,
    TableFactor,
    Visit,
    Visitor, //
};
use std::ops::ControlFlow;

/// Says whether a query is a read.
pub(super) fn classify_query(query: &Query) -> StatementKind {
    let mut check = ReadCheck {
        tables: SmallVec::new(),
    };
    match query.visit(&mut check) {
        ControlFlow::Continue(()) => StatementKind::Read {
            tables: check.tables,
        },
        ControlFlow::Break(NotRead) => StatementKind::Write,
    }
}

/// The query may change something.
struct NotRead;

struct ReadCheck {
    tables: SmallVec<[String; 4]>,
}

impl Visitor for ReadCheck {
    type Break = NotRead;

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<NotRead> {
        let plain = is_plain(&query.body) && query.locks.is_empty();
        proceed_if(plain && query.pipe_operators.is_empty())
    }

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<NotRead> {
        proceed_if(select.into.is_none())
    }

    fn pre_visit_statement(&mut self, _statement: &Statement) -> ControlFlow<NotRead> {
        ControlFlow::Break(NotRead)
    }

    fn pre_visit_relation(&mut self, relation: &ObjectName) -> ControlFlow<NotRead> {
        self.tables.push(table_name(relation));
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<NotRead> {
        match factor {
            TableFactor::Table {
                name,
                args: Some(_),
                ..
            }
            | TableFactor::Function { name, .. } => proceed_if(is_harmless(name)),
            TableFactor::Table { .. }
            | TableFactor::Derived { .. }
            | TableFactor::TableFunction { .. }
            | TableFactor::UNNEST { .. }
            | TableFactor::NestedJoin { .. } => ControlFlow::Continue(()),
            _ => ControlFlow::Break(NotRead),
        }
    }

    fn pre_visit_expr(&mut self, expression: &Expr) -> ControlFlow<NotRead> {
        match expression {
            Expr::Function(function) => proceed_if(is_harmless(&function.name)),
            Expr::BinaryOp {
                op: BinaryOperator::Custom(_) | BinaryOperator::PGCustomBinaryOperator(_),
                ..
            } => ControlFlow::Break(NotRead),
            _ => ControlFlow::Continue(()),
        }
    }
}

/// Returns whether no part of a set expression changes data.
fn is_plain(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(_) | SetExpr::Query(_) | SetExpr::Values(_) | SetExpr::Table(_) => true,
        SetExpr::SetOperation { left, right, .. } => is_plain(left) && is_plain(right),
        SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) | SetExpr::Merge(_) => false,
    }
}

/// Returns the name of a table, without the schema `public`; unquoted names in lower case.
fn table_name(relation: &ObjectName) -> String {
    let parts = relation.0.iter().filter_map(|part| part.as_ident());
    let parts = parts.map(|part| match part.quote_style {
        Some(_) => part.value.clone(),
        None => part.value.to_ascii_lowercase(),
    });
    let name = parts.collect::<Vec<_>>().join(".");
    match name.strip_prefix("public.") {
        Some(table) => table.to_owned(),
        None => name,
    }
}

fn proceed_if(harmless: bool) -> ControlFlow<NotRead> {
    if harmless {
        ControlFlow::Continue(())
    } else {
        ControlFlow::Break(NotRead)
    }
}
