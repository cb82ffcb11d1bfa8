//! The outermost message of every frame.

/// Version of the protocol between the system's processes that this build speaks.
pub const PROTOCOL_VERSION: u32 = 1;

/// Version and cluster in front of a message; the body is decoded only if both fit.
///
/// Only the first frame of a connection's direction must name them; what follows goes with it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// Protocol version of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Cluster of the sender.
    #[prost(string, tag = "2")]
    pub cluster: String,
    /// The encoded message.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: bytes::Bytes,
}
