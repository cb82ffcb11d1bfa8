//! Messages and framing between the processes of the system.
//!
//! Every connection carries length-delimited frames, each one [`Envelope`]; the first one names the
//! protocol version and the cluster. [`MessageStream`] refuses frames of another cluster or a
//! future version.

mod control;
mod convert;
mod envelope;
mod order;
mod peer;
mod relay;
mod security;
mod share;
mod stream;
mod update;
mod view;

pub use crate::{
    control::{
        AppendReply,
        AppendRequest,
        ControlMembers,
        ControlMessage,
        GroupReport,
        Handshake,
        HealthReport,
        Heartbeat,
        HeartbeatReply,
        HistoryEntry,
        HistoryReply,
        HistoryRequest,
        LogEntry,
        NotLeader,
        ShowReply,
        ShowRequest,
        SnapshotChunk,
        SnapshotReply,
        SpareNotice,
        SpareReply,
        StatusReply,
        StatusRequest,
        SubmitReply,
        SubmitRequest,
        TransferRequest,
        UpstreamReport,
        UsageCount,
        UsageReport,
        UsageWindow,
        VoteReply,
        VoteRequest,
        Welcome,
        control_message, //
    },
    convert::ConvertError,
    envelope::{
        Envelope,
        PROTOCOL_VERSION, //
    },
    order::{
        AnnounceReply,
        AnnounceRequest,
        EvacuateReply,
        EvacuateRequest,
        SourceReply,
        SourceRequest,
        SubmitNewestReply,
        SubmitNewestRequest, //
    },
    peer::{
        AwaitReply,
        AwaitRequest,
        CancelLink,
        LinkData,
        LinkGranted,
        LinkRefused,
        LinkRelease,
        LinkReply,
        LinkRequest,
        PeerMessage,
        ProbeReply,
        ProbeRequest,
        WirePosition,
        peer_message, //
    },
    relay::{
        AdmitOutcome,
        RelayAdmit,
        RelayAdmitted,
        RelayCall,
        RelayFailure,
        RelayFailureKind,
        RelayFence,
        RelayMessage,
        RelayPing,
        RelayPong,
        RelayRefusal,
        RelayReply,
        RelayValue,
        RelayVerb,
        relay_message, //
    },
    security::{
        PeerRole,
        PeerSecurity,
        PeerSocket,
        SecurityError,
        SecurityFiles, //
    },
    share::{
        WireDemand,
        WireGrant,
        WireShare,
        WireShareReply,
        WireShareReport, //
    },
    stream::{
        FRAME_BYTES_MAX,
        MessageReceiver,
        MessageSender,
        MessageStream,
        StreamError, //
    },
    update::{
        EncodedDocument,
        EncodedUpdate,
        UPDATE_BYTES_MAX, //
    },
    view::{
        DocumentPatch,
        WireGroup,
        WireInstance,
        WireUpstream,
        WireView, //
    }, //
};
