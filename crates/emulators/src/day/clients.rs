//! The clients: hits at random times, retries as the answers allow, reports of wrong answers.

use super::pods::{BUILD, TRY, WORTHLESS, WRONG};
use super::{Day, Due, End};
use crate::script::DayFault;
use bytes::BytesMut;
use limewing_net::body::Framing;
use limewing_net::http::{write_request, ResponseHead};
use limewing_net::message_reader::ResponseReader;
use limewing_net::sockets::SocketId;
use limewing_net::timer_wheel::TimerKey;
use limewing_rule_checker::record::{AttemptKey, Event, FinalAnswer, RequestId, SidecarId};
use limewing_settings::{DeduplicationScope, Idempotency};
use rand::RngExt;
use rand_distr::weighted::WeightedIndex;
use rand_distr::{Distribution, Exp};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

#[derive(Default)]
pub struct Clients {
    next: u64,
    pub until: Duration,
    orders: HashMap<RequestId, Order>,
    idle: BTreeMap<SidecarId, Vec<SocketId>>,
    pub asked: u64,
    pub delivered: u64,
    pub bounced: u64,
    pub errored: u64,
}

struct Order {
    group: usize,
    customer: Option<usize>,
    key: u64,
    worthless: bool,
    tries: u16,
    /// Until when it is tried again.
    until: Duration,
}

pub struct ClientLink {
    sidecar: SidecarId,
    responses: ResponseReader,
    of: Option<AttemptKey>,
    /// The head of its answer has come.
    begun: bool,
    request: BytesMut,
    /// Bytes written on this connection before the present hit.
    from: u64,
    waits: Duration,
    timers: Vec<TimerKey>,
}

/// The wait between the two pieces of a slow client's hit.
const SLOW: Duration = Duration::from_millis(120);

/// What a client waits past its time for the answer that may still be on its way.
const LAST_WAIT: Duration = Duration::from_millis(250);

/// A path as the clients ask for it: each parameter is 1.
pub fn target_of(pattern: &str) -> String {
    let part = |part: &str| {
        if part.starts_with('{') {
            "1".to_owned()
        } else {
            part.to_owned()
        }
    };
    pattern.split('/').map(part).collect::<Vec<_>>().join("/")
}

impl Day<'_> {
    pub(super) fn next_hit(&mut self) {
        let factor = self.present.values().map(|trouble| match trouble {
            DayFault::Overload(factor) => *factor,
            _ => 1.0,
        });
        let rate = self.script.requests_per_second * factor.product::<f64>();
        let wait = Exp::new(rate.max(1e-6)).map_or(1.0, |wait| wait.sample(&mut self.chance));
        let next = self.now + Duration::from_secs_f64(wait.min(3600.0));
        if next < self.clients.until {
            self.wheel.schedule(next, Due::Hit);
        }
        self.new_order(None);
    }

    pub(super) fn worthless(&mut self, trouble: usize) {
        let Some(DayFault::FailingTenant {
            tenant: customer,
            requests_per_second: per_s,
        }) = self.present.get(&trouble)
        else {
            return;
        };
        let of = self
            .script
            .tenants
            .iter()
            .position(|known| known.name == *customer);
        let wait = Exp::new(per_s.max(1e-6)).map_or(1.0, |wait| wait.sample(&mut self.chance));
        let next = self.now + Duration::from_secs_f64(wait.min(3600.0));
        if next < self.clients.until {
            self.wheel.schedule(next, Due::Worthless(trouble));
            self.new_order(of);
        }
    }

    /// A new hit; of a given customer, it is worthless.
    fn new_order(&mut self, worthless_of: Option<usize>) {
        let script = self.script;
        let group = self
            .draw(script.classes.iter().map(|group| group.share))
            .unwrap_or(0);
        let drawn = self.draw(script.tenants.iter().map(|customer| customer.share));
        let id = RequestId(self.clients.next);
        self.clients.next += 1;
        let timeout = Duration::from(self.script.classes[group].class.client_timeout);
        let customer = worthless_of.or(drawn);
        // A tagged hit is asked for only while pods remember it, with a little left for the way there.
        let lasts = script
            .deduplication(group)
            .map_or(timeout, |(_, memory)| timeout.min(memory.mul_f64(0.9)));
        let (key, until) = (self.chance.random_range(0..5_000), self.now + lasts);
        let order = Order {
            group,
            customer,
            key,
            worthless: worthless_of.is_some(),
            tries: 0,
            until,
        };
        self.clients.orders.insert(id, order);
        self.clients.asked += 1;
        self.ask(id);
    }

    /// A place drawn by shares; none if there are none.
    fn draw(&mut self, shares: impl Iterator<Item = f64>) -> Option<usize> {
        WeightedIndex::new(shares)
            .ok()
            .map(|places| places.sample(&mut self.chance))
    }

    /// Sends the next try of a hit to one of the sidecars.
    pub(super) fn ask(&mut self, id: RequestId) {
        let sidecar = match WeightedIndex::new(&self.script.traffic_shares) {
            Ok(places) => SidecarId(places.sample(&mut self.chance) as u32),
            Err(_) => SidecarId(
                self.chance
                    .random_range(0..self.script.sidecar_zones.len() as u32),
            ),
        };
        let patience = self
            .chance
            .random_range(self.script.clients.min_timeout_part..=1.0);
        let leaves = self
            .chance
            .random_bool(self.script.clients.disconnecting_part);
        let Some(order) = self.clients.orders.get_mut(&id) else {
            return;
        };
        let of = AttemptKey::new(id, order.tries);
        order.tries += 1;
        let group = &self.script.classes[order.group].class;
        let waits = Duration::from(group.client_timeout).mul_f64(patience);
        let waits = Duration::from_millis(
            waits.min(order.until.saturating_sub(self.now)).as_millis() as u64,
        );
        if waits.is_zero() {
            self.clients.orders.remove(&id);
            return;
        }
        let route = &group.routes[0];
        let (mark, ms, key) = (
            format!("{}-{}", of.request.0, of.number),
            waits.as_millis().to_string(),
            order.key.to_string(),
        );
        let tag = format!("order-{}", id.0);
        let mut fields = vec![
            ("host", "orders.example"),
            (TRY, &mark[..]),
            ("request-timeout-ms", &ms),
        ];
        fields.push(("routing-key", &key));
        if let Some(customer) = order.customer {
            fields.push(("customer", &self.script.tenants[customer].name));
        }
        let careless = self.script.clients.retries_non_idempotent
            && group.idempotency == Idempotency::NonIdempotent;
        if careless || matches!(group.idempotency, Idempotency::Keyed { .. }) {
            fields.push(("idempotency-key", &tag));
        }
        if order.worthless {
            fields.push((WORTHLESS, "1"));
        }
        let body: &[u8] = if route.method == "GET" {
            b""
        } else {
            b"{\"litres\": 500}"
        };
        let mut request = BytesMut::new();
        let fields = fields
            .into_iter()
            .map(|(name, value)| (name.as_bytes(), value.as_bytes()));
        let framing = Framing::Length(body.len() as u64);
        write_request(
            &mut request,
            &route.method,
            &target_of(&route.path),
            fields,
            framing,
        );
        request.extend_from_slice(body);
        let kept = self.clients.idle.get_mut(&sidecar).and_then(Vec::pop);
        let fresh = kept.is_none();
        let link = match kept {
            Some(link) => link,
            None => match self
                .sockets
                .connect(self.processes[sidecar.0 as usize].address)
            {
                Ok(link) => {
                    let (responses, request, timers) =
                        (ResponseReader::new(1 << 20), BytesMut::new(), Vec::new());
                    let (of, begun, from, waits) = (None, false, 0, Duration::ZERO);
                    let new = ClientLink {
                        sidecar,
                        responses,
                        of,
                        begun,
                        request,
                        from,
                        waits,
                        timers,
                    };
                    self.ends.insert(link, End::Client(Box::new(new)));
                    link
                }
                Err(_) => return self.try_again(id, true, true),
            },
        };
        let from = self.sockets.bytes_written(link);
        let mut timers = vec![self
            .wheel
            .schedule(self.now + waits + LAST_WAIT + SLOW, Due::GiveUp(link))];
        if leaves {
            let early = waits.mul_f64(self.chance.random_range(0.0..0.3));
            timers.push(self.wheel.schedule(self.now + early, Due::Leave(link)));
        }
        let Some(End::Client(client)) = self.ends.get_mut(&link) else {
            return;
        };
        (client.of, client.from, client.request, client.waits) = (Some(of), from, request, waits);
        (client.begun, client.timers) = (false, timers);
        if !fresh {
            self.write_hit(link);
        }
    }

    pub(super) fn client_connected(&mut self, link: SocketId) {
        self.write_hit(link);
    }

    fn write_hit(&mut self, link: SocketId) {
        let Some(End::Client(client)) = self.ends.get_mut(&link) else {
            return;
        };
        let (Some(of), sidecar, waits) = (client.of, client.sidecar, client.waits) else {
            return;
        };
        if self
            .chance
            .random_bool(self.script.clients.slow_sender_part)
        {
            let first = client.request.split_to(client.request.len() / 2);
            self.sockets.send(link, &first);
            self.wheel.schedule(self.now + SLOW, Due::Rest(link));
            return;
        }
        self.write_all(link, of, sidecar, waits);
    }

    /// The second piece of a hit that was begun.
    pub(super) fn write_rest(&mut self, link: SocketId) {
        let Some(End::Client(client)) = self.ends.get(&link) else {
            return;
        };
        let (Some(of), sidecar, waits) = (client.of, client.sidecar, client.waits) else {
            return;
        };
        if !client.request.is_empty() {
            self.write_all(link, of, sidecar, waits);
        }
    }

    /// A hit counts as asked when the last of it is written: no sidecar can take it before.
    fn write_all(&mut self, link: SocketId, of: AttemptKey, sidecar: SidecarId, waits: Duration) {
        let Some(End::Client(client)) = self.ends.get_mut(&link) else {
            return;
        };
        let request = std::mem::take(&mut client.request);
        let Some(order) = self.clients.orders.get(&of.request) else {
            return;
        };
        let (group, key) = (order.group, Some(order.key));
        self.note(Event::RequestSent {
            sidecar,
            attempt: of,
            class: group,
            timeout: waits,
            routing_key: key,
        });
        self.sockets.send(link, &request);
    }

    fn untime(&mut self, link: SocketId) {
        let Some(End::Client(client)) = self.ends.get_mut(&link) else {
            return;
        };
        for timer in std::mem::take(&mut client.timers) {
            self.wheel.cancel(timer);
        }
    }

    pub(super) fn client_read(&mut self, link: SocketId) {
        let ended = self.sockets.has_ended(link);
        let Some(End::Client(client)) = self.ends.get_mut(&link) else {
            return;
        };
        let (sidecar, of) = (client.sidecar, client.of);
        let Some(input) = self.sockets.input(link) else {
            return;
        };
        if of.is_none() {
            if !input.is_empty() {
                self.note(Event::UnexpectedAnswer {
                    sidecar,
                    attempt: None,
                });
            }
            return self.close_client(link);
        }
        match client.responses.take(input, ended) {
            Ok(Some((head, _))) => {
                let more = !input.is_empty();
                self.answered(link, &head);
                if more {
                    self.note(Event::UnexpectedAnswer {
                        sidecar,
                        attempt: of,
                    });
                }
                if more || ended || !head.keep_alive {
                    self.close_client(link);
                } else {
                    self.clients.idle.entry(sidecar).or_default().push(link);
                }
            }
            Ok(None) if !ended => {
                let begun = client.responses.is_mid_message()
                    && !std::mem::replace(&mut client.begun, true);
                let order = of.and_then(|of| self.clients.orders.get(&of.request));
                let streamed =
                    order.is_some_and(|order| self.script.classes[order.group].class.streaming);
                if let Some(of) = of.filter(|_| begun && streamed) {
                    self.note(Event::AnswerStarted {
                        sidecar,
                        attempt: of,
                    });
                }
                self.sockets.resume_reading(link)
            }
            _ => {
                let written = self.sockets.bytes_written(link);
                self.sockets.close(link);
                self.client_lost(link, written);
            }
        }
    }

    fn close_client(&mut self, link: SocketId) {
        self.untime(link);
        let Some(End::Client(client)) = self.ends.get(&link) else {
            return;
        };
        if let Some(idle) = self.clients.idle.get_mut(&client.sidecar) {
            idle.retain(|id| *id != link);
        }
        self.drop_end(link);
    }

    fn answered(&mut self, link: SocketId, head: &ResponseHead) {
        self.untime(link);
        let Some(End::Client(client)) = self.ends.get_mut(&link) else {
            return;
        };
        let Some(of) = client.of.take() else { return };
        let sidecar = client.sidecar;
        let own = head.fields.text("proxy-status");
        let ended = match own {
            None => FinalAnswer::Delivered,
            Some(status) if status.contains("a retry is harmless") => FinalAnswer::Rejected,
            Some(_) => FinalAnswer::Failed,
        };
        let build = head.fields.text(BUILD).and_then(|build| build.parse().ok());
        self.note(Event::Answered {
            sidecar,
            attempt: of,
            answer: ended,
            status: head.status,
            build,
        });
        match ended {
            FinalAnswer::Delivered => {
                self.clients.orders.remove(&of.request);
                self.clients.delivered += 1;
                let wrong = head.fields.get(WRONG).is_some()
                    && self.chance.random_bool(self.script.clients.reported_part);
                if let Some(mark) = head.fields.text("limewing-forward").filter(|_| wrong) {
                    let after = Duration::from_secs_f64(self.chance.random_range(0.3..1.5));
                    self.wheel
                        .schedule(self.now + after, Due::Report(sidecar, mark.to_owned()));
                }
            }
            FinalAnswer::Rejected => {
                self.clients.bounced += 1;
                self.try_again(of.request, true, false);
            }
            FinalAnswer::Failed => {
                self.clients.errored += 1;
                self.try_again(of.request, false, false);
            }
        }
    }

    /// Tries again after a wait, where that does no harm: `harmless` by what is known, else by path group.
    fn try_again(&mut self, id: RequestId, harmless: bool, soon: bool) {
        let wait = f64::from(self.script.clients.mean_backoff) * self.chance.random_range(0.5..1.5);
        let Some(order) = self.clients.orders.get(&id) else {
            return;
        };
        let by_group = match self.script.classes[order.group].class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed {
                deduplicated_by, ..
            } => deduplicated_by == DeduplicationScope::All,
            Idempotency::NonIdempotent => self.script.clients.retries_non_idempotent,
        };
        let at = self.now + Duration::from_secs_f64(if soon { wait * 0.1 } else { wait });
        let again = order.tries <= self.script.clients.max_retries
            && at < order.until
            && (harmless || by_group);
        if again {
            self.wheel.schedule(at, Due::Retry(id));
        } else {
            self.clients.orders.remove(&id);
        }
    }

    pub(super) fn client_lost(&mut self, link: SocketId, written: u64) {
        self.untime(link);
        let Some(End::Client(client)) = self.ends.remove(&link) else {
            return;
        };
        if let Some(idle) = self.clients.idle.get_mut(&client.sidecar) {
            idle.retain(|id| *id != link);
        }
        let Some(of) = client.of else { return };
        let reached = written > client.from;
        if client.request.is_empty() {
            // A process that ends may be seen by its sockets before the loop looks at it.
            self.look_after(client.sidecar);
            self.note(Event::ConnectionLost {
                attempt: of,
                written: reached,
            });
        }
        self.try_again(of.request, !reached, !reached);
    }

    pub(super) fn give_up(&mut self, link: SocketId) {
        self.gone(link, |of| Event::ClientTimedOut { attempt: of });
    }

    pub(super) fn leave(&mut self, link: SocketId) {
        self.gone(link, |of| Event::ClientDisconnected { attempt: of });
    }

    fn gone(&mut self, link: SocketId, entry: impl Fn(AttemptKey) -> Event) {
        let Some(End::Client(client)) = self.ends.get(&link) else {
            return;
        };
        if let Some(of) = client.of {
            if client.request.is_empty() {
                self.note(entry(of));
            }
            self.clients.orders.remove(&of.request);
        }
        self.close_client(link);
    }

    pub(super) fn report(&mut self, sidecar: SidecarId, mark: &str) {
        let body = serde_json::json!({ "forward": mark }).to_string();
        let Ok(link) = self
            .sockets
            .connect(self.processes[sidecar.0 as usize].address)
        else {
            return;
        };
        let fields = [("host", "orders.example"), ("connection", "close")];
        let fields = fields
            .iter()
            .map(|(name, value)| (name.as_bytes(), value.as_bytes()));
        let mut request = BytesMut::new();
        write_request(
            &mut request,
            "POST",
            "/limewing/reports",
            fields,
            Framing::Length(body.len() as u64),
        );
        request.extend_from_slice(body.as_bytes());
        self.sockets.send(link, &request);
        self.sockets.close_when_sent(link);
    }
}
