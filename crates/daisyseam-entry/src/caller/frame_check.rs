//! Checks the shape of a caller's message before the library decodes it.
//!
//! The decoder reads past the end of a message whose inner counts lie, so each message is cut
//! out first and its counts are compared with what is there.

use bytes::Buf;

/// Returns whether the body of a message has the shape that its tag asks for.
pub(super) fn is_sound(tag: u8, body: &[u8]) -> bool {
    let mut reader = BodyReader(body);
    let sound = match tag {
        b'Q' | b'p' | b'f' => reader.text(),
        b'P' => reader.text() && reader.text() && reader.array(4),
        b'B' => {
            reader.text() && reader.text() && reader.array(2) && reader.values() && reader.array(2)
        }
        b'C' | b'D' => reader.target() && reader.text(),
        b'E' => reader.text() && reader.skip(4),
        b'H' | b'S' | b'X' | b'c' => true,
        b'd' => return true,
        _ => false,
    };
    sound && reader.0.is_empty()
}

struct BodyReader<'a>(&'a [u8]);

impl BodyReader<'_> {
    fn text(&mut self) -> bool {
        match self.0.iter().position(|byte| *byte == 0) {
            Some(end) => self.skip(end + 1),
            None => false,
        }
    }

    fn target(&mut self) -> bool {
        matches!(self.0.first(), Some(b'S' | b'P')) && self.skip(1)
    }

    fn array(&mut self, item_bytes: usize) -> bool {
        match self.0.try_get_u16() {
            Ok(count) => self.skip(usize::from(count) * item_bytes),
            Err(_) => false,
        }
    }

    fn values(&mut self) -> bool {
        let Ok(count) = self.0.try_get_u16() else {
            return false;
        };
        (0..count).all(|_| match self.0.try_get_i32() {
            Ok(length) => usize::try_from(length).map_or(length == -1, |length| self.skip(length)),
            Err(_) => false,
        })
    }

    fn skip(&mut self, count: usize) -> bool {
        let fits = count <= self.0.len();
        if fits {
            self.0.advance(count);
        }
        fits
    }
}
