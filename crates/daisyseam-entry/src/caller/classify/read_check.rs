//! Detection of read-only queries.

use super::{
    StatementKind,
    functions::is_read_only_function, //
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

/// Classifies a query as a read or a write.
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

/// Stops the visit, since the query may change data.
struct NotRead;

struct ReadCheck {
    tables: SmallVec<[String; 4]>,
}

impl Visitor for ReadCheck {
    type Break = NotRead;

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<NotRead> {
        let read_only = is_read_only_body(&query.body) && query.locks.is_empty();
        continue_if(read_only && query.pipe_operators.is_empty())
    }

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<NotRead> {
        continue_if(select.into.is_none())
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
            | TableFactor::Function { name, .. } => continue_if(is_read_only_function(name)),
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
            Expr::Function(function) => continue_if(is_read_only_function(&function.name)),
            Expr::BinaryOp {
                op: BinaryOperator::Custom(_) | BinaryOperator::PGCustomBinaryOperator(_),
                ..
            } => ControlFlow::Break(NotRead),
            _ => ControlFlow::Continue(()),
        }
    }
}

/// Returns whether a set expression contains no data-modifying statement.
fn is_read_only_body(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(_) | SetExpr::Query(_) | SetExpr::Values(_) | SetExpr::Table(_) => true,
        SetExpr::SetOperation { left, right, .. } => {
            is_read_only_body(left) && is_read_only_body(right)
        }
        SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) | SetExpr::Merge(_) => false,
    }
}

/// Returns the name of a table without the schema `public`, with unquoted parts in lower case.
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

fn continue_if(read_only: bool) -> ControlFlow<NotRead> {
    if read_only {
        ControlFlow::Continue(())
    } else {
        ControlFlow::Break(NotRead)
    }
}
