//! Sending units to a database.

use super::{
    CallerSession,
    request::RequestUnit, //
};
use crate::{
    DatabaseLink,
    LinkBroker,
    RateGate,
    caller::{
        answer::SendProgress,
        checked_out_link::CheckedOutLink,
        exchange::{
            Exchange,
            ExchangeFault,
            ExchangePort,
            ExchangeStep, //
        },
        prepared::{
            BatchPart,
            PreparedStatement, //
        }, //
    }, //
};
use pgwire::messages::{
    PgWireFrontendMessage,
    extendedquery::{
        Close,
        Describe,
        Execute,
        Flush,
        Parse,
        Sync,
        TARGET_TYPE_BYTE_PORTAL,
        TARGET_TYPE_BYTE_STATEMENT, //
    }, //
};
use std::sync::Arc;
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite, //
    },
    time::Instant, //
};

/// Maximum number of bytes of a batch to send before its answers are read.
///
/// Without a limit, both sides could block each other with full socket buffers.
const CHUNK_BYTES_MAX: usize = 16 << 10;

/// Maximum number of messages of a batch to send before their answers are read.
const CHUNK_MESSAGES_MAX: usize = 64;

impl<B, G, S> CallerSession<B, G, S>
where
    B: LinkBroker,
    G: RateGate,
    S: AsyncRead + AsyncWrite + Unpin,
{
    /// Applies the database settings of the session to the current transaction.
    pub(super) async fn apply_replayed_settings(
        &mut self,
        exchange: &mut Exchange,
        link: &mut CheckedOutLink<B::Link>,
        deadline: Instant,
    ) -> Result<(), ExchangeFault> {
        for setting in self.replayed_settings.clone() {
            let text = format!("SET LOCAL {} = {}", setting.name, setting.value);
            self.port(link, deadline).query(&text).await?;
            exchange.expect(ExchangeStep::InternalQuery);
        }
        Ok(())
    }

    /// Sends a unit; for a long unit, relays answers between its parts.
    pub(super) async fn send_unit(
        &mut self,
        unit: &RequestUnit<'_>,
        exchange: &mut Exchange,
        link: &mut CheckedOutLink<B::Link>,
        deadline: Instant,
    ) -> Result<(), ExchangeFault> {
        self.progress = SendProgress::Sent;
        let mut port = self.port(link, deadline);
        match unit {
            RequestUnit::Simple(text) => {
                port.query(text).await?;
                exchange.expect(ExchangeStep::CallerQuery);
            }
            RequestUnit::Extended(parts) => {
                send_parts(parts, exchange, &mut port).await?;
                port.send(PgWireFrontendMessage::Sync(Sync::new())).await?;
                exchange.expect(ExchangeStep::Sync);
            }
        }
        Ok(())
    }
}

async fn send_parts<S, L>(
    parts: &[BatchPart],
    exchange: &mut Exchange,
    port: &mut ExchangePort<'_, S, L>,
) -> Result<(), ExchangeFault>
where
    S: AsyncRead + AsyncWrite + Unpin,
    L: DatabaseLink,
{
    let (mut bytes, mut messages) = (0, 0);
    for part in parts {
        let size = part_bytes(part);
        if messages > 0 && (bytes + size > CHUNK_BYTES_MAX || messages >= CHUNK_MESSAGES_MAX) {
            port.send(PgWireFrontendMessage::Flush(Flush::new()))
                .await?;
            exchange.drain(port).await?;
            (bytes, messages) = (0, 0);
            if exchange.failed {
                return Ok(());
            }
        }
        send_part(part, exchange, port).await?;
        bytes += size;
        messages += 1;
    }
    Ok(())
}

async fn send_part<S, L>(
    part: &BatchPart,
    exchange: &mut Exchange,
    port: &mut ExchangePort<'_, S, L>,
) -> Result<(), ExchangeFault>
where
    S: AsyncRead + AsyncWrite + Unpin,
    L: DatabaseLink,
{
    let message = match part {
        BatchPart::Parse { statement, .. } => {
            let message = parse_message(statement);
            port.link.unnamed_statement = Some(Arc::clone(statement));
            PgWireFrontendMessage::Parse(message)
        }
        BatchPart::Bind(portal) => {
            parse_as_unnamed(&portal.statement, exchange, port).await?;
            PgWireFrontendMessage::Bind(portal.message())
        }
        BatchPart::DescribeStatement(statement) => {
            parse_as_unnamed(statement, exchange, port).await?;
            let describe = Describe::new(TARGET_TYPE_BYTE_STATEMENT, None);
            PgWireFrontendMessage::Describe(describe)
        }
        BatchPart::DescribePortal(name) => {
            let describe = Describe::new(TARGET_TYPE_BYTE_PORTAL, name.clone());
            PgWireFrontendMessage::Describe(describe)
        }
        BatchPart::Execute {
            portal, max_rows, ..
        } => PgWireFrontendMessage::Execute(Execute::new(portal.clone(), *max_rows)),
        BatchPart::ClosePortal(name) => {
            let close = Close::new(TARGET_TYPE_BYTE_PORTAL, name.clone());
            PgWireFrontendMessage::Close(close)
        }
        BatchPart::Answer(answer) => {
            exchange.expect(ExchangeStep::Answer(answer.message()));
            return Ok(());
        }
        // Local statements run between units.
        BatchPart::Local(_) => return Ok(()),
    };
    port.send(message).await?;
    exchange.expect(ExchangeStep::Part { relayed: true });
    Ok(())
}

/// Parses a statement as the unnamed statement of the connection, unless it already is that.
async fn parse_as_unnamed<S, L>(
    statement: &Arc<PreparedStatement>,
    exchange: &mut Exchange,
    port: &mut ExchangePort<'_, S, L>,
) -> Result<(), ExchangeFault>
where
    S: AsyncRead + AsyncWrite + Unpin,
    L: DatabaseLink,
{
    let held = port.link.unnamed_statement.as_ref();
    if held.is_some_and(|held| Arc::ptr_eq(held, statement)) {
        return Ok(());
    }
    let message = parse_message(statement);
    port.link.unnamed_statement = Some(Arc::clone(statement));
    port.send(PgWireFrontendMessage::Parse(message)).await?;
    exchange.expect(ExchangeStep::Part { relayed: false });
    Ok(())
}

fn parse_message(statement: &PreparedStatement) -> Parse {
    Parse::new(
        None,
        statement.text.clone(),
        statement.parameter_types.clone(),
    )
}

fn part_bytes(part: &BatchPart) -> usize {
    match part {
        BatchPart::Parse { statement, .. } | BatchPart::DescribeStatement(statement) => {
            statement.text.len()
        }
        BatchPart::Bind(portal) => {
            let values = portal.bind.parameters.iter().flatten();
            portal.statement.text.len() + values.map(|value| value.len()).sum::<usize>()
        }
        _ => 0,
    }
}
