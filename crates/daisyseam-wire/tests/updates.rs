//! Updates of the view are compressed above a size, and decompressed within a bound.

use bytes::Bytes;
use daisyseam_model::{
    DocumentNumber,
    FleetView, //
};
use daisyseam_wire::{
    ConvertError,
    DocumentPatch,
    EncodedDocument,
    EncodedUpdate,
    HeartbeatReply,
    UPDATE_BYTES_MAX,
    WireGroup,
    WireUpstream,
    WireView, //
};
use flate2::{
    Compression,
    read::GzEncoder, //
};
use proptest::prelude::*;
use std::io::Read;

fn compressed(plain: &[u8]) -> Vec<u8> {
    let mut deflated = Vec::new();
    let mut encoder = GzEncoder::new(plain, Compression::best());
    encoder.read_to_end(&mut deflated).expect("memory");
    deflated
}

/// A view with this many groups and no document.
fn view(groups: usize) -> WireView {
    let group = |number| WireGroup {
        name: format!("group-{number}"),
        term: 3,
        ..WireGroup::default()
    };
    WireView {
        number: 9,
        since: 8,
        document_number: 7,
        groups: (0..groups).map(group).collect(),
        ..WireView::default()
    }
}

proptest! {
    /// Guards against an update whose parts, compressed or not, decode to something else.
    #[test]
    fn an_update_decodes_to_what_was_encoded(
        groups in 0_usize..400,
        lines in proptest::option::of(0_usize..400),
    ) {
        let others = view(groups);
        let patch = lines.map(|lines| {
            let text = "rate = 50\n".repeat(lines);
            DocumentPatch::between(DocumentNumber(6), "rate = 40\n", &text)
        });
        let document = patch.clone().map(EncodedDocument::new);
        let update = EncodedUpdate::new(document.as_ref(), &others);
        let mut reply = HeartbeatReply::default();
        reply.set_update(Some(update.clone()));
        prop_assert_eq!(reply.encoded_update(), Some(update.clone()));
        prop_assert!(reply.update.is_some() != reply.update_deflated.is_some());
        let expected = WireView { document: patch, ..others };
        prop_assert_eq!(update.decoded(), Ok(expected));
    }

    /// Guards against a process that terminates because of a corrupt update.
    #[test]
    fn a_corrupt_update_is_refused(at in any::<prop::sample::Index>(), change in 1_u8..) {
        let update = EncodedUpdate::new(None, &view(400));
        let mut bytes = update.bytes().to_vec();
        // The header of a gzip member is ten bytes; some of them, such as the time, have no meaning.
        let at = 10 + at.index(bytes.len() - 10);
        bytes[at] ^= change;
        let corrupt = EncodedUpdate::Deflated(bytes.into());
        prop_assert!(corrupt.decoded().is_err());
    }

    #[test]
    fn an_incomplete_update_is_refused(end in any::<prop::sample::Index>()) {
        let update = EncodedUpdate::new(None, &view(400));
        let end = end.index(update.bytes().len());
        let incomplete = EncodedUpdate::Deflated(update.bytes().slice(..end));
        prop_assert_eq!(incomplete.decoded(), Err(ConvertError::Compression));
    }
}

#[test]
fn a_small_update_is_not_compressed() {
    let document = EncodedDocument::new(DocumentPatch::whole("number = 7\n"));
    let update = EncodedUpdate::new(Some(&document), &view(2));
    assert!(matches!(update, EncodedUpdate::Plain(_)), "{update:?}");
}

/// Guards against a process that runs out of memory because of a small message that decompresses to a
/// very large one.
#[test]
fn decompression_is_bounded() {
    let zeros = vec![0; 16 << 20];
    let one = compressed(&zeros);
    // Many members as well as one of them: 1 GiB altogether.
    for members in [1, 64] {
        let bytes = Bytes::from(one.repeat(members));
        assert!(bytes.len() < 2 << 20, "{} bytes", bytes.len());
        let refused = EncodedUpdate::Deflated(bytes).decoded();
        assert_eq!(refused, Err(ConvertError::Oversized(UPDATE_BYTES_MAX)));
    }
}

/// Guards against entries of this version that acknowledge nothing under members of control of an
/// earlier one, whose views do not say which databases are voters.
#[test]
fn a_view_of_an_earlier_version_counts_the_copies_of_all_databases() {
    let upstream = |name: &str, voter| WireUpstream {
        name: name.to_owned(),
        group: "bookings-db".to_owned(),
        data_centre: "khomas-1".to_owned(),
        address: "127.0.0.1:6000".to_owned(),
        admin_address: "127.0.0.1:6000".to_owned(),
        voter,
        ..WireUpstream::default()
    };
    let update = WireView {
        number: 9,
        upstreams: vec![
            upstream("earlier", None),
            upstream("learner", Some(false)),
            upstream("voter", Some(true)),
        ],
        ..WireView::default()
    };
    let (view, _) = update.apply(&FleetView::default(), "").expect("a view");
    let voters = view.upstreams.iter().filter(|(_, upstream)| upstream.voter);
    let voters: Vec<_> = voters.map(|(name, _)| name.as_str()).collect();
    assert_eq!(voters, ["earlier", "voter"]);
}
