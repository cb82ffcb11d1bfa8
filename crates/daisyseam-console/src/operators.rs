//! The operators that may sign in.

use argon2::{
    Argon2,
    PasswordHash,
    PasswordHasher,
    PasswordVerifier,
    password_hash::{
        SaltString,
        rand_core::OsRng, //
    }, //
};
use displaydoc::Display;
use std::{
    collections::BTreeMap,
    error::Error,
    io,
    path::Path, //
};

/// Why the operators file cannot be used.
#[derive(Debug, Display)]
pub enum OperatorFileError {
    /// the operators file cannot be read: {0}
    Read(io::Error),
    /// line {0} of the operators file is not `name:hash`
    Line(usize),
    /// the operators file names no operator
    Empty,
    /// the password cannot be hashed
    Hash,
}

impl Error for OperatorFileError {}

/// The operators and their password hashes.
#[derive(Clone, Debug)]
pub struct OperatorFile {
    hashes: BTreeMap<String, String>,
    /// Hash verified for unknown names, so that they take as long as known ones.
    dummy_hash: String,
}

impl OperatorFile {
    /// Reads the file.
    ///
    /// # Errors
    ///
    /// [`OperatorFileError`], with the number of an invalid line.
    pub fn read(path: &Path) -> Result<Self, OperatorFileError> {
        let text = std::fs::read_to_string(path).map_err(OperatorFileError::Read)?;
        Self::parse(&text)
    }

    /// Parses the content of the file; empty lines and lines that start with `#` are ignored.
    ///
    /// # Errors
    ///
    /// [`OperatorFileError`], with the number of an invalid line.
    pub fn parse(text: &str) -> Result<Self, OperatorFileError> {
        let mut hashes = BTreeMap::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let invalid = || OperatorFileError::Line(index + 1);
            let (name, hash) = line.split_once(':').ok_or_else(invalid)?;
            if name.is_empty() || PasswordHash::new(hash).is_err() {
                return Err(invalid());
            }
            hashes.insert(name.to_owned(), hash.to_owned());
        }
        if hashes.is_empty() {
            return Err(OperatorFileError::Empty);
        }
        let dummy_hash = hash_password("")?;
        Ok(Self { hashes, dummy_hash })
    }

    /// Returns whether the password of an operator is correct; slow by design of the hash.
    pub fn verify(&self, name: &str, password: &str) -> bool {
        let known = self.hashes.get(name);
        let hash = known.unwrap_or(&self.dummy_hash);
        let Ok(hash) = PasswordHash::new(hash) else {
            return false;
        };
        let matches = Argon2::default()
            .verify_password(password.as_bytes(), &hash)
            .is_ok();
        matches && known.is_some()
    }
}

/// Hashes a password for the operators file.
///
/// # Errors
///
/// [`OperatorFileError::Hash`] when the library rejects the password.
pub fn hash_password(password: &str) -> Result<String, OperatorFileError> {
    let salt = SaltString::generate(&mut OsRng);
    Argon2::default()
        .hash_password(password.as_bytes(), &salt)
        .map(|hash| hash.to_string())
        .map_err(|_| OperatorFileError::Hash)
}
