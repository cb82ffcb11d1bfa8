//! Validation of a document.

mod entries;
mod organisations;
mod references;
mod sections;

use self::{
    entries::read_named,
    organisations::{
        read_open_routes,
        read_organisations, //
    },
    references::check_references,
    sections::{
        read_data_centres,
        read_groups,
        read_limits,
        read_services, //
    }, //
};
use super::{
    DOCUMENT_BYTES_MAX,
    Document,
    Problem,
    RegionEntry,
    read::ValueReader, //
};
use crate::{
    ClusterId,
    DocumentNumber, //
};
use std::ops::Range;
use toml_edit::{
    Document as TomlDocument,
    TableLike, //
};

/// Accepted rates and bursts, in statements a second and statements.
const RATE_BOUNDS: Range<f64> = 0.001..1e9;

/// Reads and validates a text; there is a document exactly when no problem is an error.
pub(super) fn check(text: &str) -> (Option<Document>, Vec<Problem>) {
    let mut reader = ValueReader::new(text);
    if text.len() > DOCUMENT_BYTES_MAX {
        let message = format!(
            "the document has {} bytes, more than the {DOCUMENT_BYTES_MAX} accepted",
            text.len()
        );
        reader.error(None, message);
        return (None, reader.finish());
    }
    let tree = match TomlDocument::parse(text) {
        Ok(tree) => tree,
        Err(error) => {
            reader.error(error.span(), error.message().to_owned());
            return (None, reader.finish());
        }
    };
    let document = read_document(&mut reader, tree.as_table());
    let document = document.filter(|_| !reader.has_errors());
    (document, reader.finish())
}

fn read_document(reader: &mut ValueReader<'_>, root: &dyn TableLike) -> Option<Document> {
    reader.only_keys(
        root,
        "the document",
        &[
            "number",
            "cluster",
            "limits",
            "region",
            "data_centre",
            "group",
            "service",
            "organisation",
            "open_route",
        ],
    );
    let number = reader.integer(root, "number", 1..i64::MAX, None, None);
    let cluster = reader.name::<ClusterId>(root, "cluster", None);
    let limits = read_limits(reader, root);
    let regions = read_named(reader, root, "region", &["name"], |_, _, _| {
        Some(RegionEntry {})
    });
    let data_centres = read_data_centres(reader, root);
    let groups = read_groups(reader, root);
    let services = read_services(reader, root);
    let organisations = read_organisations(reader, root);
    let open_routes = read_open_routes(reader, root);
    let document = Document {
        number: DocumentNumber(number.and_then(|number| u64::try_from(number).ok())?),
        cluster: cluster?,
        limits,
        regions,
        data_centres,
        groups,
        services,
        organisations,
        open_routes,
    };
    check_references(reader, &document, root);
    Some(document)
}
