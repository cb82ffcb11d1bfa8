//! Validates the structure of a caller's message before the library decodes it.
//!
//! The decoder reads past the end of a message with incorrect inner counts, so each message is
//! first extracted by its length and its counts are checked against the available bytes.

use bytes::Buf;

/// Returns whether the body of a message is well-formed for its tag.
pub(super) fn is_well_formed(tag: u8, body: &[u8]) -> bool {
    let mut reader = BodyReader(body);
    let well_formed = match tag {
        b'Q' | b'p' | b'f' => reader.skip_string(),
        b'P' => reader.skip_string() && reader.skip_string() && reader.skip_array(4),
        b'B' => {
            reader.skip_string()
                && reader.skip_string()
                && reader.skip_array(2)
                && reader.skip_values()
                && reader.skip_array(2)
        }
        b'C' | b'D' => reader.skip_target() && reader.skip_string(),
        b'E' => reader.skip_string() && reader.skip_bytes(4),
        b'H' | b'S' | b'X' | b'c' => true,
        b'd' => return true,
        _ => false,
    };
    well_formed && reader.0.is_empty()
}

struct BodyReader<'a>(&'a [u8]);

impl BodyReader<'_> {
    fn skip_string(&mut self) -> bool {
        match self.0.iter().position(|byte| *byte == 0) {
            Some(end) => self.skip_bytes(end + 1),
            None => false,
        }
    }

    fn skip_target(&mut self) -> bool {
        matches!(self.0.first(), Some(b'S' | b'P')) && self.skip_bytes(1)
    }

    fn skip_array(&mut self, item_bytes: usize) -> bool {
        match self.0.try_get_u16() {
            Ok(count) => self.skip_bytes(usize::from(count) * item_bytes),
            Err(_) => false,
        }
    }

    fn skip_values(&mut self) -> bool {
        let Ok(count) = self.0.try_get_u16() else {
            return false;
        };
        (0..count).all(|_| match self.0.try_get_i32() {
            Ok(length) => {
                usize::try_from(length).map_or(length == -1, |length| self.skip_bytes(length))
            }
            Err(_) => false,
        })
    }

    fn skip_bytes(&mut self, count: usize) -> bool {
        let fits = count <= self.0.len();
        if fits {
            self.0.advance(count);
        }
        fits
    }
}
