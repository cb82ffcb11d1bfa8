//! TLS settings for connections between processes.

use crate::SettingReader;
use daisyseam_model::ClusterId;
use daisyseam_wire::{
    PeerSecurity,
    SecurityFiles, //
};
use std::path::PathBuf;

/// Flags that name the TLS files of a process; either all three are set or none.
#[derive(Clone, Debug, Default)]
pub struct SecurityFlags {
    /// Value of `--tls-authority`.
    pub authority: Option<String>,
    /// Value of `--tls-certificate`.
    pub certificate: Option<String>,
    /// Value of `--tls-key`.
    pub key: Option<String>,
}

impl SecurityFlags {
    /// Reads the files that the settings name; without any, connections are not encrypted.
    ///
    /// Problems are added to the reader.
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
                let message = "must be set together with --tls-certificate and --tls-key";
                reader.problem("tls-authority", message.to_owned());
                None
            }
        }
    }
}
