//! Who may sign in.

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

/// Why the file of operators cannot be used.
#[derive(Debug, Display)]
pub enum OperatorFileError {
    /// the file of operators cannot be read: {0}
    Read(io::Error),
    /// line {0} of the file of operators is not `name:hash`
    Line(usize),
    /// the file names no operator
    Empty,
    /// a password cannot be hashed
    Hash,
}

impl Error for OperatorFileError {}

/// The operators and their password hashes.
#[derive(Clone, Debug)]
pub struct OperatorFile {
    hashes: BTreeMap<String, String>,
    /// Stands in for unknown names, so that they take as long as known ones.
    decoy: String,
}

impl OperatorFile {
    /// Reads the file.
    ///
    /// # Errors
    ///
    /// [`OperatorFileError`], with the line that is wrong.
    pub fn read(path: &Path) -> Result<Self, OperatorFileError> {
        let text = std::fs::read_to_string(path).map_err(OperatorFileError::Read)?;
        Self::parse(&text)
    }

    /// Reads the file's text; empty lines and lines that start with `#` say nothing.
    ///
    /// # Errors
    ///
    /// [`OperatorFileError`], with the line that is wrong.
    pub fn parse(text: &str) -> Result<Self, OperatorFileError> {
        let mut hashes = BTreeMap::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let wrong = || OperatorFileError::Line(index + 1);
            let (name, hash) = line.split_once(':').ok_or_else(wrong)?;
            if name.is_empty() || PasswordHash::new(hash).is_err() {
                return Err(wrong());
            }
            hashes.insert(name.to_owned(), hash.to_owned());
        }
        if hashes.is_empty() {
            return Err(OperatorFileError::Empty);
        }
        let decoy = hash_password("")?;
        Ok(Self { hashes, decoy })
    }

    /// Returns whether the password is the operator's; slow on purpose.
    pub fn verify(&self, name: &str, password: &str) -> bool {
        let known = self.hashes.get(name);
        let hash = known.unwrap_or(&self.decoy);
        let Ok(hash) = PasswordHash::new(hash) else {
            return false;
        };
        let matches = Argon2::default()
            .verify_password(password.as_bytes(), &hash)
            .is_ok();
        matches && known.is_some()
    }
}

/// Hashes a password for the file of operators.
///
/// # Errors
///
/// [`OperatorFileError::Hash`] when the library refuses it.
pub fn hash_password(password: &str) -> Result<String, OperatorFileError> {
    let salt = SaltString::generate(&mut OsRng);
    Argon2::default()
        .hash_password(password.as_bytes(), &salt)
        .map(|hash| hash.to_string())
        .map_err(|_| OperatorFileError::Hash)
}
