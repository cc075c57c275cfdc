//! What all stand-ins share: the clock, the record and the sidecar process.

use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicI32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;

/// The clock of a run and its record.
#[derive(Clone)]
pub struct World {
    start: Instant,
    record: Arc<Mutex<File>>,
}

impl World {
    pub fn new(record: &Path) -> Self {
        let file = File::create(record).unwrap_or_else(|e| cannot_run(&format!("record: {e}")));
        Self {
            start: Instant::now(),
            record: Arc::new(Mutex::new(file)),
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    pub fn log(&self, line: &str) {
        self.log_at(self.now(), line);
    }

    pub fn log_at(&self, at: f64, line: &str) {
        let mut file = self.record.lock().unwrap();
        let _ = writeln!(file, "{at:10.1} {line}");
    }

    pub fn sleep_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(left / 1e3));
        }
    }
}

/// Writes a line to standard output, if somebody reads it.
pub fn say(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}

/// The process of the running sidecar, or 0.
static CHILD: AtomicI32 = AtomicI32::new(0);
const SIGKILL: i32 = 9;
/// A run that takes longer than this has failed to run.
const LONGEST_RUN: Duration = Duration::from_secs(115);

/// Ends the program, and the sidecar with it, because the case cannot run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    let child = CHILD.load(Ordering::SeqCst);
    if child > 0 {
        // SAFETY: the process was started by this one and has not been waited for.
        unsafe { kill(child, SIGKILL) };
    }
    let _ = std::fs::remove_dir_all(folder());
    std::process::exit(2);
}

/// Ends the program if it takes too long.
pub fn limit_time() {
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST_RUN);
        cannot_run("it took too long");
    });
}

/// The temporary folder of this run.
fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-case-{}", std::process::id()))
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// An address on which nobody listens now. It is a loopback address of this run's own, so that no
/// outgoing connection takes its port meanwhile.
pub fn free_address() -> SocketAddr {
    let own = std::process::id();
    let address = Ipv4Addr::new(127, 77, (own >> 8) as u8, (own & 0xff) as u8);
    let listener = TcpListener::bind((address, 0)).unwrap_or_else(|e| cannot_run(&e.to_string()));
    listener.local_addr().unwrap()
}

/// A running sidecar; it ends with this value.
pub struct Sidecar {
    child: Child,
    pub folder: PathBuf,
    pub config: PathBuf,
}

impl Sidecar {
    /// Starts the command `run` of the deploy file with this configuration.
    pub fn start(root: &Path, listen: SocketAddr, config: &str) -> Self {
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml"))
            .unwrap_or_else(|e| cannot_run(&format!("deploy file: {e}")));
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""))
            .and_then(|rest| rest.split('"').next())
            .unwrap_or_else(|| cannot_run("the deploy file has no run"));
        let folder = folder();
        std::fs::create_dir_all(&folder).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let file = folder.join("config.json");
        std::fs::write(&file, config).unwrap();
        let log = File::create(folder.join("sidecar.log")).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .current_dir(root)
            .env("ROUTER_CONFIG", &file)
            .env("ROUTER_NAME", "n0")
            .env("ROUTER_LISTEN", listen.to_string())
            .env(
                "RUST_LOG",
                std::env::var("RUST_LOG").unwrap_or("info".into()),
            )
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("sidecar: {e}")));
        CHILD.store(child.id() as i32, Ordering::SeqCst);
        Self {
            child,
            folder,
            config: file,
        }
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process was started by this one and has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Replaces the configuration file in one step.
    pub fn replace_config(&self, config: &str) {
        let new = self.folder.join("config.new");
        std::fs::write(&new, config).unwrap();
        std::fs::rename(&new, &self.config).unwrap();
    }

    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        CHILD.store(0, Ordering::SeqCst);
        if std::env::var("KEEP").is_ok() {
            eprintln!("kept {}", self.folder.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
