//! New keys.

use base64::{
    Engine,
    engine::general_purpose::URL_SAFE_NO_PAD, //
};
use rand::Rng;
use sha2::{
    Digest,
    Sha256, //
};

/// Random bytes in a key.
const KEY_BYTES: usize = 32;
/// What a key starts with, so that it is recognised when it turns up where it should not.
const KEY_PREFIX: &str = "dsk_";

/// A key and the hash that stands for it in the document.
pub struct NewKey {
    /// The key, for the organisation alone.
    pub key: String,
    /// `sha256:` and 64 hexadecimal digits, for the document.
    pub hash: String,
}

/// Makes a key from the system's random numbers.
pub fn new_key() -> NewKey {
    let bytes: [u8; KEY_BYTES] = rand::rng().random();
    let key = format!("{KEY_PREFIX}{}", URL_SAFE_NO_PAD.encode(bytes));
    let hash = format!("sha256:{}", hex::encode(Sha256::digest(key.as_bytes())));
    NewKey { key, hash }
}
