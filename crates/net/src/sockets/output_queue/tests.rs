//! Tests the order of queued output, and which of its bytes are counted.

use super::OutputQueue;
use bytes::Bytes;

#[test]
fn chunks_are_sent_in_order_and_only_copies_are_counted() {
    let mut queue = OutputQueue::default();
    queue.push_copy(b"head");
    queue.push_shared(Bytes::from_static(b"statement"));
    queue.push_copy(b"");
    queue.push_copy(b"tail");
    assert_eq!((queue.len(), queue.copied_bytes()), (17, 8));
    let mut sent = Vec::new();
    while !queue.is_empty() {
        let length = queue.front().len().min(3);
        sent.extend_from_slice(&queue.front()[..length]);
        queue.advance(length);
    }
    assert_eq!(sent, b"headstatementtail");
    assert_eq!((queue.len(), queue.copied_bytes()), (0, 0));
}
