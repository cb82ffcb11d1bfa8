//! Statements of PostgreSQL, made fit for SQLite.

use super::error::StandInError;
use pgwire::api::Type;
use rusqlite::Connection;
use sqlparser::{
    ast::{
        AssignmentTarget,
        BinaryOperator,
        CastKind,
        ColumnOption,
        CreateTable,
        DataType,
        Expr,
        FunctionArg,
        FunctionArgExpr,
        FunctionArguments,
        InTarget,
        LimitClause,
        ObjectName,
        ObjectNamePart,
        Query,
        Select,
        SelectItem,
        SetExpr,
        Statement,
        TableFactor,
        TableObject,
        Value,
        Visit,
        VisitMut,
        Visitor,
        VisitorMut, //
    },
    dialect::PostgreSqlDialect,
    parser::Parser, //
};
use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    ops::ControlFlow,
    time::Duration, //
};

/// A statement that is ready to run.
#[derive(Clone, Debug)]
pub(super) struct ParsedStatement {
    /// What it does.
    pub(super) kind: StatementKind,
    /// Its text for SQLite.
    pub(super) sql: String,
    /// Time that it asks to sleep.
    pub(super) sleep: Duration,
    /// Whether it locks rows.
    pub(super) locks: bool,
    /// How many parameters it has.
    pub(super) parameters: usize,
    /// Whether it reads tables.
    pub(super) reads_tables: bool,
    tree: Statement,
}

/// What a statement does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StatementKind {
    /// Starts a transaction.
    Begin,
    /// Commits it.
    Commit,
    /// Rolls it back.
    RollBack,
    /// Rolls back to a savepoint.
    RollBackTo,
    /// Changes a setting, which a stand-in has none of.
    Setting(&'static str),
    /// Runs in SQLite; the text is its command tag.
    Run(&'static str),
}

/// Parses a text of one or more statements.
pub(super) fn parse(text: &str) -> Result<Vec<ParsedStatement>, StandInError> {
    let trees = Parser::parse_sql(&PostgreSqlDialect {}, text)
        .map_err(|error| StandInError::Syntax(error.to_string()))?;
    trees.into_iter().map(translate).collect()
}

fn translate(mut tree: Statement) -> Result<ParsedStatement, StandInError> {
    let kind = classify(&tree)?;
    let mut fitter = SqliteFitter::default();
    let _: ControlFlow<()> = VisitMut::visit(&mut tree, &mut fitter);
    if let Statement::CreateTable(table) = &mut tree {
        fit_table(table);
    }
    Ok(ParsedStatement {
        kind,
        sql: tree.to_string(),
        sleep: fitter.sleep,
        locks: fitter.locks,
        parameters: fitter.parameters,
        reads_tables: matches!(kind, StatementKind::Run("SELECT")) && fitter.relations > 0,
        tree,
    })
}

fn classify(tree: &Statement) -> Result<StatementKind, StandInError> {
    let kind = match tree {
        Statement::StartTransaction { .. } => StatementKind::Begin,
        Statement::Commit { .. } => StatementKind::Commit,
        Statement::Rollback {
            savepoint: None, ..
        } => StatementKind::RollBack,
        Statement::Rollback { .. } => StatementKind::RollBackTo,
        Statement::Savepoint { .. } => StatementKind::Run("SAVEPOINT"),
        Statement::ReleaseSavepoint { .. } => StatementKind::Run("RELEASE"),
        Statement::Set(_) => StatementKind::Setting("SET"),
        Statement::Reset(_) => StatementKind::Setting("RESET"),
        Statement::Discard { .. } => StatementKind::Setting("DISCARD ALL"),
        Statement::Deallocate { .. } => StatementKind::Setting("DEALLOCATE"),
        Statement::Query(_) => StatementKind::Run("SELECT"),
        Statement::Insert(_) => StatementKind::Run("INSERT"),
        Statement::Update(_) => StatementKind::Run("UPDATE"),
        Statement::Delete(_) => StatementKind::Run("DELETE"),
        Statement::CreateTable(_) => StatementKind::Run("CREATE TABLE"),
        Statement::CreateIndex(_) => StatementKind::Run("CREATE INDEX"),
        Statement::Drop { .. } => StatementKind::Run("DROP TABLE"),
        Statement::AlterTable { .. } => StatementKind::Run("ALTER TABLE"),
        other => {
            let words: String = other.to_string().chars().take(40).collect();
            return Err(StandInError::Unsupported(format!(
                "the stand-in does not know `{words}`"
            )));
        }
    };
    Ok(kind)
}

/// Rewrites what SQLite does not know, and counts parameters.
#[derive(Default)]
struct SqliteFitter {
    sleep: Duration,
    locks: bool,
    parameters: usize,
    relations: usize,
}

impl VisitorMut for SqliteFitter {
    type Break = ();

    fn pre_visit_query(&mut self, query: &mut Query) -> ControlFlow<()> {
        self.locks |= !query.locks.is_empty();
        query.locks.clear();
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &mut TableFactor) -> ControlFlow<()> {
        if let TableFactor::Table { args, .. } = factor {
            *args = None;
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_relation(&mut self, relation: &mut ObjectName) -> ControlFlow<()> {
        keep_last_part(relation);
        self.relations += 1;
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expr: &mut Expr) -> ControlFlow<()> {
        match expr {
            Expr::Cast { kind, .. } => *kind = CastKind::Cast,
            Expr::Function(function) => {
                keep_last_part(&mut function.name);
                if function_name(&function.name) == "pg_sleep" {
                    self.sleep += sleep_time(&function.args);
                }
            }
            _ => {}
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_value(&mut self, value: &mut sqlparser::ast::ValueWithSpan) -> ControlFlow<()> {
        if let Some(number) = placeholder(&value.value) {
            self.parameters = self.parameters.max(number);
        }
        ControlFlow::Continue(())
    }
}

fn keep_last_part(name: &mut ObjectName) {
    if name.0.len() > 1 {
        name.0.drain(..name.0.len() - 1);
    }
}

fn function_name(name: &ObjectName) -> String {
    let last = name.0.last().and_then(ObjectNamePart::as_ident);
    last.map_or_else(String::new, |ident| ident.value.to_ascii_lowercase())
}

fn sleep_time(arguments: &FunctionArguments) -> Duration {
    let number = first_argument(arguments).and_then(|expr| match expr {
        Expr::Value(value) => match &value.value {
            Value::Number(number, _) => number.to_string().parse::<f64>().ok(),
            _ => None,
        },
        _ => None,
    });
    number
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
        .unwrap_or_default()
}

fn first_argument(arguments: &FunctionArguments) -> Option<&Expr> {
    let FunctionArguments::List(list) = arguments else {
        return None;
    };
    match list.args.first()? {
        FunctionArg::Unnamed(FunctionArgExpr::Expr(expr)) => Some(expr),
        _ => None,
    }
}

fn placeholder(value: &Value) -> Option<usize> {
    match value {
        Value::Placeholder(text) => text.strip_prefix('$')?.parse().ok(),
        _ => None,
    }
}

fn expr_placeholder(expr: &Expr) -> Option<usize> {
    match expr {
        Expr::Value(value) => placeholder(&value.value),
        Expr::Nested(inner) => expr_placeholder(inner),
        _ => None,
    }
}

fn fit_table(table: &mut CreateTable) {
    for column in &mut table.columns {
        if type_name(&column.data_type).contains("serial") {
            column.data_type = DataType::Integer(None);
        }
        for option in &mut column.options {
            if let ColumnOption::Default(expr) = &mut option.option {
                let inner = std::mem::replace(expr, Expr::Identifier("x".into()));
                *expr = Expr::Nested(Box::new(inner));
            }
        }
    }
}

fn type_name(data_type: &DataType) -> String {
    data_type.to_string().to_ascii_lowercase()
}

/// Returns the type on the wire of a declared type.
pub(super) fn wire_type(declared: &str) -> Type {
    let declared = declared.to_ascii_lowercase();
    let word = declared.split(['(', ' ']).next().unwrap_or_default();
    match word {
        "smallint" | "int2" => Type::INT2,
        "int" | "int4" => Type::INT4,
        "integer" | "bigint" | "int8" | "bigserial" | "serial" => Type::INT8,
        "real" | "double" | "float" | "float8" | "numeric" | "decimal" => Type::FLOAT8,
        "bool" | "boolean" => Type::BOOL,
        "bytea" | "blob" => Type::BYTEA,
        "pg_lsn" => Type::PG_LSN,
        "xid8" => Type::XID8,
        _ => Type::TEXT,
    }
}

impl ParsedStatement {
    /// Infers the types of its parameters from the columns they meet.
    pub(super) fn parameter_types(&self, connection: &Connection) -> Vec<Type> {
        let mut finder = TypeFinder {
            columns: self.columns(connection),
            found: BTreeMap::new(),
        };
        let _: ControlFlow<()> = Visit::visit(&self.tree, &mut finder);
        if let Statement::Insert(insert) = &self.tree {
            finder.insert(insert, connection);
        }
        (1..=self.parameters)
            .map(|number| finder.found.get(&number).cloned().unwrap_or(Type::TEXT))
            .collect()
    }

    /// Infers the types of result columns that no table column gives.
    pub(super) fn result_types(&self, connection: &Connection) -> Vec<Option<Type>> {
        let columns = self.columns(connection);
        self.projection()
            .iter()
            .map(|item| match item {
                SelectItem::UnnamedExpr(expr) | SelectItem::ExprWithAlias { expr, .. } => {
                    expr_type(expr, &columns)
                }
                _ => None,
            })
            .collect()
    }

    fn projection(&self) -> &[SelectItem] {
        match &self.tree {
            Statement::Query(query) => match query.body.as_ref() {
                SetExpr::Select(select) => &select.projection,
                _ => &[],
            },
            Statement::Insert(insert) => insert.returning.as_deref().unwrap_or_default(),
            Statement::Update(update) => update.returning.as_deref().unwrap_or_default(),
            Statement::Delete(delete) => delete.returning.as_deref().unwrap_or_default(),
            _ => &[],
        }
    }

    fn columns(&self, connection: &Connection) -> HashMap<String, Type> {
        let mut finder = RelationFinder(Vec::new());
        let _: ControlFlow<()> = Visit::visit(&self.tree, &mut finder);
        let mut columns = HashMap::new();
        for relation in finder.0 {
            columns.extend(table_columns(connection, &relation));
        }
        columns
    }
}

struct RelationFinder(Vec<String>);

impl Visitor for RelationFinder {
    type Break = ();

    fn pre_visit_relation(&mut self, relation: &ObjectName) -> ControlFlow<()> {
        self.0.push(function_name(relation));
        ControlFlow::Continue(())
    }
}

fn table_columns(connection: &Connection, table: &str) -> Vec<(String, Type)> {
    let read = || -> rusqlite::Result<Vec<(String, Type)>> {
        let mut statement =
            connection.prepare_cached("SELECT name, type FROM pragma_table_info(?1)")?;
        let rows = statement.query_map([table], |row| {
            let name: String = row.get(0)?;
            let declared: String = row.get(1)?;
            Ok((name.to_ascii_lowercase(), wire_type(&declared)))
        })?;
        rows.collect()
    };
    // A table that is not there is reported when the statement runs.
    read().unwrap_or_default()
}

struct TypeFinder {
    columns: HashMap<String, Type>,
    found: BTreeMap<usize, Type>,
}

impl TypeFinder {
    fn meet(&mut self, expr: &Expr, found: Option<Type>) {
        if let (Some(number), Some(found)) = (expr_placeholder(expr), found) {
            self.found.entry(number).or_insert(found);
        }
    }

    fn insert(&mut self, insert: &sqlparser::ast::Insert, connection: &Connection) {
        let TableObject::TableName(name) = &insert.table else {
            return;
        };
        let declared = table_columns(connection, &function_name(name));
        let order: Vec<Option<Type>> = if insert.columns.is_empty() {
            declared.into_iter().map(|(_, found)| Some(found)).collect()
        } else {
            let named = insert.columns.iter().map(function_name);
            named.map(|name| self.columns.get(&name).cloned()).collect()
        };
        let Some(source) = &insert.source else { return };
        let SetExpr::Values(values) = source.body.as_ref() else {
            return;
        };
        for row in &values.rows {
            for (expr, found) in row.content.iter().zip(&order) {
                self.meet(expr, found.clone());
            }
        }
    }
}

impl Visitor for TypeFinder {
    type Break = ();

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        if let Some(LimitClause::LimitOffset { limit, offset, .. }) = &query.limit_clause {
            if let Some(limit) = limit {
                self.meet(limit, Some(Type::INT8));
            }
            if let Some(offset) = offset {
                self.meet(&offset.value, Some(Type::INT8));
            }
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_select(&mut self, _select: &Select) -> ControlFlow<()> {
        ControlFlow::Continue(())
    }

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<()> {
        if let Statement::Update(update) = statement {
            for assignment in &update.assignments {
                if let AssignmentTarget::ColumnName(name) = &assignment.target {
                    let found = self.columns.get(&function_name(name)).cloned();
                    self.meet(&assignment.value, found);
                }
            }
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        match expr {
            Expr::BinaryOp { left, op, right } if *op != BinaryOperator::StringConcat => {
                let known = expr_type(left, &self.columns);
                self.meet(right, known);
                let known = expr_type(right, &self.columns);
                self.meet(left, known);
            }
            Expr::In {
                expr,
                target: InTarget::List(list),
                ..
            } => {
                let known = expr_type(expr, &self.columns);
                for item in list {
                    self.meet(item, known.clone());
                }
            }
            Expr::Between {
                expr, low, high, ..
            } => {
                let known = expr_type(expr, &self.columns);
                self.meet(low, known.clone());
                self.meet(high, known);
            }
            Expr::Cast {
                expr, data_type, ..
            } => self.meet(expr, Some(wire_type(&type_name(data_type)))),
            _ => {}
        }
        ControlFlow::Continue(())
    }
}

fn expr_type(expr: &Expr, columns: &HashMap<String, Type>) -> Option<Type> {
    match expr {
        Expr::Identifier(ident) => columns.get(&ident.value.to_ascii_lowercase()).cloned(),
        Expr::CompoundIdentifier(parts) => {
            let last = parts.last()?;
            columns.get(&last.value.to_ascii_lowercase()).cloned()
        }
        Expr::Nested(inner) => expr_type(inner, columns),
        Expr::Cast { data_type, .. } => Some(wire_type(&type_name(data_type))),
        Expr::Value(value) => match &value.value {
            Value::Number(number, _) => match number.to_string().parse::<i32>() {
                Ok(_) => Some(Type::INT4),
                Err(_) => Some(Type::FLOAT8),
            },
            Value::Boolean(_) => Some(Type::BOOL),
            Value::SingleQuotedString(_) => Some(Type::TEXT),
            _ => None,
        },
        Expr::BinaryOp { left, op, right } => match op {
            BinaryOperator::Plus
            | BinaryOperator::Minus
            | BinaryOperator::Multiply
            | BinaryOperator::Divide
            | BinaryOperator::Modulo => {
                expr_type(left, columns).or_else(|| expr_type(right, columns))
            }
            BinaryOperator::StringConcat => Some(Type::TEXT),
            _ => Some(Type::BOOL),
        },
        Expr::Exists { .. } | Expr::IsNull(_) | Expr::IsNotNull(_) => Some(Type::BOOL),
        Expr::Function(function) => function_type(function, columns),
        _ => None,
    }
}

fn function_type(
    function: &sqlparser::ast::Function,
    columns: &HashMap<String, Type>,
) -> Option<Type> {
    match function_name(&function.name).as_str() {
        "count" | "length" | "now" => Some(Type::INT8),
        "sum" => match first_argument(&function.args).and_then(|expr| expr_type(expr, columns)) {
            Some(Type::FLOAT8) => Some(Type::FLOAT8),
            _ => Some(Type::INT8),
        },
        "min" | "max" | "coalesce" => {
            first_argument(&function.args).and_then(|expr| expr_type(expr, columns))
        }
        "avg" => Some(Type::FLOAT8),
        "pg_current_wal_lsn" | "pg_last_wal_replay_lsn" => Some(Type::PG_LSN),
        "pg_is_in_recovery" => Some(Type::BOOL),
        "pg_current_xact_id" | "pg_current_xact_id_if_assigned" => Some(Type::XID8),
        "standin_timeline" => Some(Type::INT8),
        _ => Some(Type::TEXT),
    }
}
