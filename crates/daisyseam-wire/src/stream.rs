//! Framed messages over one connection.

use crate::{
    Envelope,
    PROTOCOL_VERSION, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use daisyseam_model::ClusterId;
use displaydoc::Display;
use futures_util::{
    SinkExt,
    StreamExt,
    stream::{
        SplitSink,
        SplitStream, //
    }, //
};
use prost::Message;
use std::{
    error::Error,
    io,
    marker::PhantomData, //
};
use tokio::io::{
    AsyncRead,
    AsyncWrite, //
};
use tokio_util::codec::{
    Framed,
    LengthDelimitedCodec, //
};

/// Largest frame, in bytes.
pub const FRAME_BYTES_MAX: usize = 8 << 20;

/// Why a stream ended or a message could not be read.
#[derive(Debug, Display)]
pub enum StreamError {
    /// the connection failed: {0}
    Io(io::Error),
    /// the peer closed the connection
    Closed,
    /// a frame is no message: {0}
    Malformed(prost::DecodeError),
    /// the peer belongs to cluster `{0}`
    OtherCluster(String),
    /// the peer speaks protocol version {0}, newer than this one
    FutureVersion(u32),
}

impl Error for StreamError {}

impl From<io::Error> for StreamError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// A connection that carries messages of one type both ways.
pub struct MessageStream<T, M> {
    framed: Framed<T, LengthDelimitedCodec>,
    outgoing: Introduction,
    incoming: Introduction,
    message: PhantomData<M>,
}

impl<T, M> MessageStream<T, M>
where
    T: AsyncRead + AsyncWrite + Unpin,
    M: Message + Default,
{
    /// Wraps a connection.
    pub fn new(socket: T, cluster: ClusterId) -> Self {
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(FRAME_BYTES_MAX)
            .new_codec();
        Self {
            framed: Framed::new(socket, codec),
            outgoing: Introduction::of(cluster.clone()),
            incoming: Introduction::of(cluster),
            message: PhantomData,
        }
    }

    /// Sends a message and flushes it.
    ///
    /// # Errors
    ///
    /// [`StreamError::Io`] when the connection fails.
    pub async fn send(&mut self, message: &M) -> Result<(), StreamError> {
        let frame = self.outgoing.encode(message);
        Ok(self.framed.send(frame).await?)
    }

    /// Receives the next message.
    ///
    /// Dropping the future loses nothing.
    ///
    /// # Errors
    ///
    /// Any [`StreamError`]; the stream is of no more use after it.
    pub async fn receive(&mut self) -> Result<M, StreamError> {
        let frame = self.framed.next().await.ok_or(StreamError::Closed)??;
        self.incoming.decode(frame)
    }

    /// Splits the stream so that both ways can be used at once.
    pub fn split(self) -> (MessageSender<T, M>, MessageReceiver<T, M>) {
        let (sink, stream) = self.framed.split();
        let sender = MessageSender {
            sink,
            introduction: self.outgoing,
            message: PhantomData,
        };
        let receiver = MessageReceiver {
            stream,
            introduction: self.incoming,
            message: PhantomData,
        };
        (sender, receiver)
    }
}

/// The sending half of a [`MessageStream`].
pub struct MessageSender<T, M> {
    sink: SplitSink<Framed<T, LengthDelimitedCodec>, Bytes>,
    introduction: Introduction,
    message: PhantomData<M>,
}

impl<T, M> MessageSender<T, M>
where
    T: AsyncRead + AsyncWrite + Unpin,
    M: Message + Default,
{
    /// Sends a message and flushes it.
    ///
    /// # Errors
    ///
    /// [`StreamError::Io`] when the connection fails.
    pub async fn send(&mut self, message: &M) -> Result<(), StreamError> {
        let frame = self.introduction.encode(message);
        Ok(self.sink.send(frame).await?)
    }
}

/// The receiving half of a [`MessageStream`].
pub struct MessageReceiver<T, M> {
    stream: SplitStream<Framed<T, LengthDelimitedCodec>>,
    introduction: Introduction,
    message: PhantomData<M>,
}

impl<T, M> MessageReceiver<T, M>
where
    T: AsyncRead + AsyncWrite + Unpin,
    M: Message + Default,
{
    /// Receives the next message.
    ///
    /// # Errors
    ///
    /// Any [`StreamError`]; the stream is of no more use after it.
    pub async fn receive(&mut self) -> Result<M, StreamError> {
        let frame = self.stream.next().await.ok_or(StreamError::Closed)??;
        self.introduction.decode(frame)
    }
}

/// Version and cluster, which the first frame of a direction names for all that follow.
struct Introduction {
    cluster: ClusterId,
    done: bool,
}

impl Introduction {
    fn of(cluster: ClusterId) -> Self {
        Self {
            cluster,
            done: false,
        }
    }

    fn encode<M: Message>(&mut self, message: &M) -> Bytes {
        let mut envelope = Envelope {
            body: Bytes::from(message.encode_to_vec()),
            ..Envelope::default()
        };
        if !std::mem::replace(&mut self.done, true) {
            envelope.version = PROTOCOL_VERSION;
            envelope.cluster = self.cluster.as_str().to_owned();
        }
        Bytes::from(envelope.encode_to_vec())
    }

    fn decode<M: Message + Default>(&mut self, frame: BytesMut) -> Result<M, StreamError> {
        let envelope = Envelope::decode(frame.freeze()).map_err(StreamError::Malformed)?;
        if envelope.version > PROTOCOL_VERSION {
            return Err(StreamError::FutureVersion(envelope.version));
        }
        let named = !self.done || !envelope.cluster.is_empty();
        if named && envelope.cluster != self.cluster.as_str() {
            return Err(StreamError::OtherCluster(envelope.cluster));
        }
        self.done = true;
        M::decode(envelope.body).map_err(StreamError::Malformed)
    }
}
