//! Boundaries between the events of a stream of server-sent events.

/// Reads a stream of server-sent events and tells where events end.
///
/// Lines may end with LF, CR LF or CR, and comments belong to no event, as in the HTML
/// standard.
#[derive(Clone, Debug)]
pub struct EventScanner {
    /// Whether a field of an event was read whose event has not ended.
    has_open_event: bool,
    is_at_line_start: bool,
    is_after_cr: bool,
    has_whole_event: bool,
}

impl Default for EventScanner {
    fn default() -> Self {
        Self {
            has_open_event: false,
            is_at_line_start: true,
            is_after_cr: false,
            has_whole_event: false,
        }
    }
}

impl EventScanner {
    /// Reads the next bytes of the stream. Returns the length of their longest prefix that
    /// does not end inside an event; `None` if all prefixes do.
    pub fn advance(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut outside_at = None;
        for (index, byte) in bytes.iter().enumerate() {
            self.advance_byte(*byte);
            if !self.is_inside_event() {
                outside_at = Some(index + 1);
            }
        }
        outside_at
    }

    fn advance_byte(&mut self, byte: u8) {
        let ends_crlf = byte == b'\n' && self.is_after_cr;
        self.is_after_cr = byte == b'\r';
        match byte {
            b'\n' if ends_crlf => {}
            b'\n' | b'\r' if self.is_at_line_start => {
                self.has_whole_event |= self.has_open_event;
                self.has_open_event = false;
            }
            b'\n' | b'\r' => self.is_at_line_start = true,
            _ => {
                let is_comment = byte == b':';
                self.has_open_event |= self.is_at_line_start && !is_comment;
                self.is_at_line_start = false;
            }
        }
    }

    /// Returns whether the bytes read so far end inside an event or inside a line.
    pub fn is_inside_event(&self) -> bool {
        self.has_open_event || !self.is_at_line_start
    }

    /// Returns whether a whole event was read.
    pub fn has_whole_event(&self) -> bool {
        self.has_whole_event
    }
}
