//! Detection of a caller's API key in the data that it sends, without storing the key.

use rand::Rng;
use sha2::{
    Digest,
    Sha256, //
};
use subtle::ConstantTimeEq;

/// Modulus of the rolling hash, a Mersenne prime.
const MODULUS: u64 = (1 << 61) - 1;

/// Searches for a key by its length, its SHA-256 hash and a rolling hash with a random base.
///
/// This is a Rabin-Karp search in which the SHA-256 hash verifies each match of the rolling hash.
#[derive(Clone, Debug)]
pub(super) struct KeyGuard {
    length: usize,
    hash: [u8; 32],
    base: u64,
    /// `base` to the power of `length - 1`.
    leading_weight: u64,
    fingerprint: u64,
}

impl KeyGuard {
    /// Creates a guard for a key; returns `None` if the key is empty.
    pub(super) fn new(key: &[u8]) -> Option<Self> {
        let length = key.len();
        let power = length.checked_sub(1)?;
        let base = rand::rng().random_range(256..MODULUS);
        let leading_weight = (0..power).fold(1, |product, _| multiply_modulo(product, base));
        Some(Self {
            length,
            hash: Sha256::digest(key).into(),
            base,
            leading_weight,
            fingerprint: fingerprint(key, base),
        })
    }

    /// Returns the SHA-256 hash of the key.
    pub(super) fn hash(&self) -> &[u8; 32] {
        &self.hash
    }

    /// Returns whether the bytes contain the key.
    pub(super) fn is_contained_in(&self, bytes: &[u8]) -> bool {
        if bytes.len() < self.length {
            return false;
        }
        let mut rolling = fingerprint(&bytes[..self.length], self.base);
        if self.matches(rolling, &bytes[..self.length]) {
            return true;
        }
        for end in self.length..bytes.len() {
            let start = end - self.length;
            let removed = multiply_modulo(u64::from(bytes[start]), self.leading_weight);
            rolling = (rolling + MODULUS - removed) % MODULUS;
            rolling = append(rolling, bytes[end], self.base);
            if self.matches(rolling, &bytes[start + 1..=end]) {
                return true;
            }
        }
        false
    }

    fn matches(&self, rolling: u64, window: &[u8]) -> bool {
        rolling == self.fingerprint && {
            let hash: [u8; 32] = Sha256::digest(window).into();
            hash.ct_eq(&self.hash).into()
        }
    }
}

fn fingerprint(bytes: &[u8], base: u64) -> u64 {
    bytes.iter().fold(0, |sum, byte| append(sum, *byte, base))
}

fn append(sum: u64, byte: u8, base: u64) -> u64 {
    (multiply_modulo(sum, base) + u64::from(byte)) % MODULUS
}

fn multiply_modulo(left: u64, right: u64) -> u64 {
    let product = u128::from(left) * u128::from(right) % u128::from(MODULUS);
    // The remainder is below the modulus, so it fits into 64 bits.
    u64::try_from(product).unwrap_or_default()
}
