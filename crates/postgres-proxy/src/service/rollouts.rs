//! News of the newest build, reports of wrong answers, and votes. The service may be lost for long: the sidecar
//! goes on with what it knows and asks again.

use super::{Due, Peer, Service};
use crate::lines::Lines;
use crate::news::{self, State, Told};
use bytes::Bytes;
use limewing_decision::interface::{BuildId, ClassId, Event, StageIndex, Verdict, VoteAnswer};
use limewing_net::http_call::{CallProgress, HttpCall};
use limewing_net::sockets::SocketId;
use limewing_net::timer_wheel::TimerKey;
use std::time::Duration;

const LONGEST_LINE: usize = 16 * 1024;
const MOST_ANSWER: usize = 16 * 1024;
/// A sign of life comes every second: a stream that says less is lost.
const QUIET_AT_MOST: Duration = Duration::from_millis(2500);

pub struct NewsLink {
    lines: Lines,
    quiet: TimerKey,
}

impl Service {
    /// How the newest build stands, told by the stream, or by the answer to a vote.
    pub(super) fn stands(&mut self, state: State, answer: Option<VoteAnswer>) {
        let (news, closes) = self.latest.take(state).unzip();
        match news {
            Some(news) => tracing::info!(?news, "news"),
            None => tracing::warn!(?state, "old news left out"),
        }
        // What was resource_limits by the news before and has not gone out is called off; the module grants it anew.
        if let Some(closed) = closes.flatten() {
            self.call_off(|list, pod| list.life(pod).is_some_and(|life| life.build >= closed));
        }
        if news.is_some() || answer.is_some() {
            self.events.push(Event::Stage {
                update: news,
                vote_answer: answer,
            });
        }
    }

    pub(super) fn ask_news(&mut self) {
        let Some(at) = self.places.rollouts.filter(|_| self.news.is_none()) else {
            return;
        };
        let Ok(link) = self.sockets.connect(at) else {
            return self.news_again("no connection");
        };
        let quiet = self
            .wheel
            .schedule(self.now + QUIET_AT_MOST, Due::NewsQuiet(link));
        let lines = Lines::new(LONGEST_LINE);
        self.peers
            .insert(link, Peer::News(Box::new(NewsLink { lines, quiet })));
        self.news = Some(link);
    }

    pub(super) fn news_connected(&mut self, link: SocketId) {
        let host = self
            .places
            .rollouts
            .map(|at| at.to_string())
            .unwrap_or_default();
        let request = self.request("GET", "/v1/events", host, b"");
        self.sockets.send(link, &request);
    }

    pub(super) fn news_wrote(&mut self, link: SocketId) {
        let ended = self.sockets.has_ended(link);
        let Some(Peer::News(of)) = self.peers.get_mut(&link) else {
            return;
        };
        let Some(input) = self.sockets.input(link) else {
            return;
        };
        let came = of.lines.take(input);
        let over = ended || of.lines.ended();
        // A trickle within one line is no sign of life.
        if came.alive {
            let fresh = self
                .wheel
                .schedule(self.now + QUIET_AT_MOST, Due::NewsQuiet(link));
            self.wheel.cancel(std::mem::replace(&mut of.quiet, fresh));
        }
        let told = came
            .objects
            .iter()
            .try_for_each(|line| self.news_line(link, line));
        match told.and(came.broken.map_or(Ok(()), |broken| Err(broken.to_string()))) {
            Err(why) => self.news_lost(link, &why),
            Ok(()) if over => self.news_lost(link, "the stream ended"),
            Ok(()) => self.sockets.resume_reading(link),
        }
    }

    fn news_line(&mut self, link: SocketId, line: &Bytes) -> Result<(), String> {
        match news::read_line(line)? {
            Told::News(state) => {
                self.lost_news.reset();
                self.stands(state, None);
            }
            Told::Report(report) => {
                let age = Duration::from_millis(report.age_ms.clamp(0.0, 1e9) as u64);
                let sent = self.now.saturating_sub(age);
                if !self.reports.is_new(link, &report, sent, self.now) {
                    return Ok(());
                }
                let pod = self.list.number(&report.instance_id, sent);
                let group = self.groups.iter().position(|name| *name == report.lane);
                if let (Some(pod), Some(group)) = (pod, group) {
                    self.events.push(Event::Flagged {
                        pod,
                        class: ClassId(group as u16),
                    });
                }
            }
            Told::Nothing => {}
        }
        Ok(())
    }

    pub(super) fn close_news(&mut self, link: SocketId) {
        if let Some(Peer::News(of)) = self.peers.remove(&link) {
            self.wheel.cancel(of.quiet);
        }
        self.sockets.close(link);
    }

    pub(super) fn news_lost(&mut self, link: SocketId, why: &str) {
        self.close_news(link);
        if self.old_news == Some(link) {
            tracing::info!(why, "the old stream of news is over");
            self.old_news = None;
        } else if self.news == Some(link) {
            self.news = None;
            self.news_again(why);
        }
    }

    fn news_again(&mut self, why: &str) {
        tracing::warn!(why, "no news; asked for again");
        let wait = self.lost_news.next_delay();
        self.wheel.schedule(self.now + wait, Due::AskNews);
    }

    pub(super) fn vote(&mut self, verdict: Verdict, build: BuildId, stage: StageIndex) {
        tracing::info!(?verdict, build = build.0, stage = stage.0, "votes");
        let Some(at) = self.places.rollouts else {
            return self.events.push(Event::Stage {
                update: None,
                vote_answer: Some(VoteAnswer::Failed),
            });
        };
        let Ok(link) = self.sockets.connect(at) else {
            return self.events.push(Event::Stage {
                update: None,
                vote_answer: Some(VoteAnswer::Failed),
            });
        };
        let body = news::vote(verdict, build, stage);
        let request = self.request("POST", "/v1/votes", at.to_string(), &body);
        let timer = self.wheel.schedule(
            self.now + self.terms.vote_answer_within,
            Due::VoteLate(link),
        );
        self.peers.insert(
            link,
            Peer::Vote(Box::new(HttpCall::new(request, MOST_ANSWER, timer))),
        );
    }

    pub(super) fn vote_connected(&mut self, link: SocketId) {
        if let Some(Peer::Vote(call)) = self.peers.get_mut(&link) {
            call.on_connected(link, &mut self.sockets);
        }
    }

    pub(super) fn vote_wrote(&mut self, link: SocketId) {
        let Some(Peer::Vote(call)) = self.peers.get_mut(&link) else {
            return;
        };
        match call.on_readable(link, &mut self.sockets) {
            CallProgress::Pending => {}
            CallProgress::Complete(head, body) => {
                let (answer, told) = news::vote_answer(head.status, &body);
                self.vote_over(link, answer, told);
            }
            CallProgress::Failed => self.vote_over(link, VoteAnswer::Unanswered, None),
        }
    }

    pub(super) fn vote_over(&mut self, link: SocketId, answer: VoteAnswer, state: Option<State>) {
        let Some(Peer::Vote(of)) = self.peers.remove(&link) else {
            return;
        };
        self.wheel.cancel(of.timer);
        self.sockets.close(link);
        tracing::info!(?answer, "a vote was answered");
        match state {
            Some(state) => self.stands(state, Some(answer)),
            None => self.events.push(Event::Stage {
                update: None,
                vote_answer: Some(answer),
            }),
        }
    }
}
