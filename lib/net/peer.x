/*
 * What entries (and the control process beside each) say to one another, in
 * ONC RPC. Every call begins with a head that proves knowledge of the peer
 * secret and names the sender's incarnation.
 */

const PEER_NAME = 48;
const PEER_ADDR = 64;
const PEER_KEY = 160;
const PEER_ITEM = 112;
const PEER_BODY = 1048576;
const PEER_DELTAS = 2048;
const PEER_TOKENS = 65536;
const PEER_GENS = 16;
const PEER_VOTES = 262144;
const PEER_ITEMS = 8192;
const PEER_RECENT = 16;

struct peer_member {
	string name<PEER_NAME>;
	string zone<PEER_NAME>;
	string region<PEER_NAME>;
	string http<PEER_ADDR>;
	string peer<PEER_ADDR>;
	unsigned hyper boot;
};

/* Proves that the sender knows the peer secret, and which one it is. */
struct peer_head {
	string mac<16>;
	string name<PEER_NAME>;
	unsigned hyper boot;
};

struct peer_name {
	string name<PEER_ITEM>;
	unsigned hyper rev;
	unsigned hyper body_hash;
};

struct peer_delta {
	peer_member who;
	unsigned int state;
	unsigned int refute;
};

/* `recent`: items that came in force a moment ago, in case they were missed. */
struct peer_ping_args {
	peer_head head;
	peer_member who;
	unsigned hyper digest;
	bool joining;
	peer_delta deltas<PEER_DELTAS>;
	peer_name recent<PEER_RECENT>;
};

struct peer_ping_reply {
	peer_member who;
	unsigned hyper digest;
	peer_delta deltas<PEER_DELTAS>;
	peer_name recent<PEER_RECENT>;
};

/* Ask the receiver to probe `target` and to vouch for it to the sender. */
struct peer_help_args {
	peer_head head;
	string asker<PEER_ADDR>;
	peer_member target;
};

struct peer_vouch_args {
	peer_head head;
	unsigned hyper target;
};

struct peer_gen {
	unsigned int id;
	unsigned int from;
};

typedef string peer_token<4096>;

/* A request's record as it is copied to the entry that holds it. */
struct peer_record {
	string key<PEER_KEY>;
	string account<PEER_NAME>;
	string service<PEER_NAME>;
	string model<PEER_NAME>;
	string model_version<PEER_NAME>;
	string route<128>;
	opaque body<PEER_BODY>;
	unsigned hyper owner;
	unsigned hyper endpoint;
	unsigned int attempt;
	unsigned int prompt_tokens;
	unsigned int max_tokens;
	hyper left_ms;
	bool chat;
};

struct peer_claim_args {
	peer_head head;
	string key<PEER_KEY>;
	unsigned hyper view;
	unsigned int slot;
	unsigned int place;
	unsigned hyper claimant;
	hyper birth_ms;
	peer_record *record;
};

struct peer_claim_reply {
	unsigned int verdict;
	unsigned int reason;
	unsigned hyper taken_by;
	bool held;
};

/* News of a request, from its owner to the entry that holds the copy. */
struct peer_update {
	string key<PEER_KEY>;
	string model_version<PEER_NAME>;
	unsigned hyper endpoint;
	unsigned int attempt;
	peer_gen gens<PEER_GENS>;
	unsigned int from;
	peer_token tokens<PEER_TOKENS>;
	unsigned int outcome;
	int status;
	string finish<32>;
	opaque result<PEER_BODY>;
	bool release;
};

/*
 * Makes the receiver the holder of the copy, whoever won the claim. `state` has
 * all tokens, and the outcome if the request has ended: the owner may be lost
 * before its first update.
 */
struct peer_hold_args {
	peer_head head;
	unsigned hyper view;
	unsigned int slot;
	hyper birth_ms;
	peer_record record;
	peer_update state;
};

struct peer_update_args {
	peer_head head;
	peer_update updates<4096>;
};

struct peer_fetch_args {
	peer_head head;
	string key<PEER_KEY>;
	string account<PEER_NAME>;
	unsigned int gen;
	unsigned int from;
	bool owner_lost;
};

struct peer_fetch_reply {
	bool found;
	bool owned;
	bool restart;
	unsigned int gen;
	unsigned int from;
	peer_token tokens<PEER_TOKENS>;
	unsigned int outcome;
	int status;
	string finish<32>;
	string model<PEER_NAME>;
	string model_version<PEER_NAME>;
	opaque result<PEER_BODY>;
	bool plain;
	bool stripped;
};

struct peer_item {
	string name<PEER_ITEM>;
	unsigned hyper rev;
	hyper ttl_ms;
	opaque body<PEER_BODY>;
};

/* What the sender has; the reply names what the receiver lacks. */
struct peer_offer_args {
	peer_head head;
	peer_name names<PEER_ITEMS>;
};

struct peer_offer_reply {
	peer_name wanted<PEER_ITEMS>;
};

struct peer_give_args {
	peer_head head;
	peer_item items<PEER_ITEMS>;
};

struct peer_give_reply {
	unsigned int verdicts<PEER_ITEMS>;
};

/* All that the sender has; the reply brings what it lacks. */
struct peer_sync_reply {
	peer_item items<PEER_ITEMS>;
	peer_name wanted<PEER_ITEMS>;
};

struct peer_share_args {
	peer_head head;
	string account<PEER_ADDR>;
	unsigned hyper view;
	double demand;
	double in_use;
};

struct peer_share_reply {
	bool keeper;
	double rate;
};

struct peer_vote {
	string key<PEER_KEY>;
	unsigned hyper claimant;
	hyper birth_ms;
	unsigned int slot;
	unsigned int place;
};

struct peer_adopt_args {
	peer_head head;
	unsigned hyper view;
	peer_vote votes<PEER_VOTES>;
};

struct peer_status_args {
	peer_head head;
	string what<64>;
};

struct peer_text {
	string text<PEER_BODY>;
};

program MARLDOCK_PEER {
	version MARLDOCK_PEER_V1 {
		peer_ping_reply PEER_PING(peer_ping_args) = 1;
		bool PEER_HELP(peer_help_args) = 2;
		bool PEER_VOUCH(peer_vouch_args) = 3;
		peer_claim_reply PEER_CLAIM(peer_claim_args) = 4;
		bool PEER_UPDATE(peer_update_args) = 5;
		peer_fetch_reply PEER_FETCH(peer_fetch_args) = 6;
		peer_offer_reply PEER_OFFER(peer_offer_args) = 7;
		peer_give_reply PEER_GIVE(peer_give_args) = 8;
		peer_sync_reply PEER_SYNC(peer_offer_args) = 9;
		peer_share_reply PEER_SHARE(peer_share_args) = 10;
		bool PEER_ADOPT(peer_adopt_args) = 11;
		peer_text PEER_STATUS(peer_status_args) = 12;
		peer_give_args PEER_PULL(peer_offer_args) = 13;
		bool PEER_HOLD(peer_hold_args) = 14;
	} = 1;
} = 0x2a11d0cc;
