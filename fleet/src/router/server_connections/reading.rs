//! The answer on a connection as it is read: what its pieces come to.

use super::super::response::{Piece, ResponseHead};
use super::{Answer, Body, Current, Part, ServerEvent, MAX_EVENT, MAX_WHOLE};
use lichenswitch_event_stream::Scanner;

/// What a piece of an answer comes to.
pub(super) enum Taken {
    Nothing,
    Event(ServerEvent),
    /// The last of this answer.
    Whole(ServerEvent),
    /// It is no answer to this request.
    Odd,
}

impl Current {
    pub(super) fn take(&mut self, piece: Piece) -> Taken {
        match piece {
            Piece::Head(head) => self.take_head(head),
            Piece::Body(bytes) => self.take_body(&bytes),
            Piece::End => self.take_end(),
        }
    }

    pub(super) fn take_head(&mut self, head: ResponseHead) -> Taken {
        if head.attempt_id != self.attempt.request.attempt_id {
            return Taken::Odd;
        }
        let success = (200..300).contains(&head.status);
        // A success that no server has sealed is none.
        if success && !head.sealed {
            return Taken::Odd;
        }
        let head = Box::new(head);
        self.body = match success && head.event_stream {
            true => Body::Events(Some(head), Box::new(Scanner::new(MAX_EVENT))),
            false => Body::Whole(head, Vec::new()),
        };
        Taken::Nothing
    }

    pub(super) fn take_body(&mut self, bytes: &[u8]) -> Taken {
        let id = self.attempt.id;
        match &mut self.body {
            Body::None => Taken::Odd,
            Body::Passed => Taken::Event(ServerEvent::More(id, part_of(bytes.to_vec(), None))),
            Body::Whole(_, body) => {
                body.extend_from_slice(bytes);
                if body.len() <= MAX_WHOLE {
                    return Taken::Nothing;
                }
                let Body::Whole(head, body) = std::mem::replace(&mut self.body, Body::Passed)
                else {
                    return Taken::Odd;
                };
                Taken::Event(ServerEvent::Begun(
                    id,
                    head,
                    self.reader.length(),
                    part_of(body, None),
                ))
            }
            Body::Events(head, scanner) => {
                if scanner.push(bytes).is_err() {
                    return Taken::Odd;
                }
                let whole = scanner.whole().len();
                // Comments before the first event are passed on with it.
                if whole == 0
                    || (head.is_some()
                        && scanner.last_event_id().is_none()
                        && !has_field(scanner.whole()))
                {
                    return Taken::Nothing;
                }
                let part = part_of(scanner.whole().to_vec(), scanner.last_event_id());
                scanner.advance(whole);
                Taken::Event(match head.take() {
                    Some(head) => ServerEvent::Begun(id, head, None, part),
                    None => ServerEvent::More(id, part),
                })
            }
        }
    }

    pub(super) fn take_end(&mut self) -> Taken {
        let id = self.attempt.id;
        match std::mem::replace(&mut self.body, Body::Passed) {
            Body::None => Taken::Odd,
            Body::Passed => Taken::Whole(ServerEvent::Completed(id, Vec::new())),
            Body::Whole(head, body) => {
                Taken::Whole(ServerEvent::Answered(id, Answer { head: *head, body }))
            }
            // Without a length the end of the connection is the end of the answer, and a server
            // that breaks off in the midst of an event ends it as well.
            Body::Events(_, scanner)
                if !scanner.partial().is_empty() && !self.reader.is_framed() =>
            {
                Taken::Odd
            }
            Body::Events(Some(head), scanner) => Taken::Whole(ServerEvent::Answered(
                id,
                Answer {
                    head: *head,
                    body: rest_of(&scanner),
                },
            )),
            Body::Events(None, scanner) => {
                Taken::Whole(ServerEvent::Completed(id, rest_of(&scanner)))
            }
        }
    }
}

pub(super) fn part_of(bytes: Vec<u8>, last_event_id: Option<&[u8]>) -> Part {
    Part {
        bytes,
        last_event_id: last_event_id.map(<[u8]>::to_vec),
    }
}

/// Whether these whole lines hold more than comments and line ends.
pub(super) fn has_field(lines: &[u8]) -> bool {
    lines
        .split(|byte| matches!(byte, b'\n' | b'\r'))
        .any(|line| !line.is_empty() && line[0] != b':')
}

pub(super) fn rest_of(scanner: &Scanner) -> Vec<u8> {
    [scanner.whole(), scanner.partial()].concat()
}
