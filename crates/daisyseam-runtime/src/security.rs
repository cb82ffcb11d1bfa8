//! The settings that secure connections between processes.

use crate::SettingReader;
use daisyseam_model::ClusterId;
use daisyseam_wire::{
    PeerSecurity,
    SecurityFiles, //
};
use std::path::PathBuf;

/// Flags that name the files of a process; all three are given, or none.
#[derive(Clone, Debug, Default)]
pub struct SecurityFlags {
    /// `--tls-authority`
    pub authority: Option<String>,
    /// `--tls-certificate`
    pub certificate: Option<String>,
    /// `--tls-key`
    pub key: Option<String>,
}

impl SecurityFlags {
    /// Reads the files that the settings name; without any, connections stay plain.
    ///
    /// Problems are recorded in the reader.
    pub fn read(self, reader: &mut SettingReader, cluster: &ClusterId) -> Option<PeerSecurity> {
        let authority: Option<PathBuf> = reader.optional("tls-authority", self.authority);
        let certificate: Option<PathBuf> = reader.optional("tls-certificate", self.certificate);
        let key: Option<PathBuf> = reader.optional("tls-key", self.key);
        match (authority, certificate, key) {
            (None, None, None) => Some(PeerSecurity::plain(cluster.clone())),
            (Some(authority), Some(certificate), Some(key)) => {
                let files = SecurityFiles {
                    authority,
                    certificate,
                    key,
                };
                PeerSecurity::from_files(cluster.clone(), files)
                    .map_err(|error| reader.problem("tls-authority", error.to_string()))
                    .ok()
            }
            _ => {
                let words = "is given together with --tls-certificate and --tls-key, or not at all";
                reader.problem("tls-authority", words.to_owned());
                None
            }
        }
    }
}
