//! Creation of keys.

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
/// Prefix of every key, which identifies leaked keys.
const KEY_PREFIX: &str = "dsk_";

/// A key and the hash that represents it in the document.
pub struct NewKey {
    /// The key, known only to the organisation.
    pub key: String,
    /// Hash for the document: `sha256:` and 64 hexadecimal digits.
    pub hash: String,
}

/// Creates a key from cryptographically secure random bytes.
pub fn new_key() -> NewKey {
    let bytes: [u8; KEY_BYTES] = rand::rng().random();
    let key = format!("{KEY_PREFIX}{}", URL_SAFE_NO_PAD.encode(bytes));
    let hash = format!("sha256:{}", hex::encode(Sha256::digest(key.as_bytes())));
    NewKey { key, hash }
}
