//! Connections to pods that carry nothing now and wait for the next forward.

use limewing::interface::PodId;
use limewing_net::sockets::SocketId;
use limewing_net::wheel::TimerKey;
use std::collections::BTreeMap;

#[derive(Default)]
pub struct Kept(BTreeMap<PodId, Vec<(SocketId, TimerKey)>>);

impl Kept {
    /// The timer closes it when it has been idle for long.
    pub fn put(&mut self, pod: PodId, link: SocketId, timer: TimerKey) {
        self.0.entry(pod).or_default().push((link, timer));
    }

    /// The one that was used last: the others may grow old and close.
    pub fn take(&mut self, pod: PodId) -> Option<(SocketId, TimerKey)> {
        let links = self.0.get_mut(&pod)?;
        let last = links.pop();
        if links.is_empty() {
            self.0.remove(&pod);
        }
        last
    }

    /// Takes one out; its timer is to be cancelled.
    pub fn forget(&mut self, pod: PodId, link: SocketId) -> Option<TimerKey> {
        let links = self.0.get_mut(&pod)?;
        let place = links.iter().position(|(id, _)| *id == link)?;
        let (_, timer) = links.remove(place);
        if links.is_empty() {
            self.0.remove(&pod);
        }
        Some(timer)
    }

    pub fn of(&self, pod: PodId) -> Vec<SocketId> {
        self.0.get(&pod).into_iter().flatten().map(|(link, _)| *link).collect()
    }

    /// The oldest one of the pod that most are kept to.
    pub fn spare(&self) -> Option<SocketId> {
        let most = self.0.values().max_by_key(|links| links.len())?;
        most.first().map(|(link, _)| *link)
    }

    pub fn len(&self) -> usize {
        self.0.values().map(Vec::len).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
