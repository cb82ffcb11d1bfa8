//! Names of the entities in the document and the fleet.

use displaydoc::Display;
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    borrow::Borrow,
    error::Error,
    str::FromStr,
    sync::Arc, //
};

/// Longest accepted name, in bytes.
const NAME_BYTES_MAX: usize = 63;

/// `{0}` is not a name: use 1 to 63 lower-case letters, digits and inner hyphens
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct InvalidName(pub String);

impl Error for InvalidName {}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Checks and stores a name.
            ///
            /// # Errors
            ///
            /// [`InvalidName`] when the text is empty, too long or contains other characters.
            pub fn new(text: &str) -> Result<Self, InvalidName> {
                check_name(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// Borrows the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidName;

            fn try_from(text: String) -> Result<Self, InvalidName> {
                Self::new(&text)
            }
        }

        impl FromStr for $name {
            type Err = InvalidName;

            fn from_str(text: &str) -> Result<Self, InvalidName> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.to_string()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// The cluster that a message or a data folder belongs to.
    ClusterId
}
name_type! {
    /// A region, a set of data centres.
    RegionId
}
name_type! {
    /// A data centre.
    DataCentreId
}
name_type! {
    /// A process of the system: one entry or one control daemon.
    InstanceId
}
name_type! {
    /// A service that callers name as their database.
    ServiceId
}
name_type! {
    /// A database group: one primary and its replicas.
    GroupId
}
name_type! {
    /// One database of a group.
    UpstreamId
}
name_type! {
    /// A customer organisation, the tenant that rates and weights belong to.
    OrganisationId
}

fn check_name(text: &str) -> Result<(), InvalidName> {
    let inner = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let sound = !text.is_empty()
        && text.len() <= NAME_BYTES_MAX
        && text.bytes().all(inner)
        && !text.starts_with('-')
        && !text.ends_with('-');
    if sound {
        Ok(())
    } else {
        Err(InvalidName(text.chars().take(NAME_BYTES_MAX).collect()))
    }
}
