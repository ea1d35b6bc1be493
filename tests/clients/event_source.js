// Streams one response with the EventSource of Debian's node-eventsource and prints each event as a line of JSON.
//
// Usage: event_source.js URL KEY [LAST_EVENT_ID]
//
// The client never closes the stream itself: it reconnects after each end until the server tells it to stop.
'use strict';

const EventSource = require('eventsource');

const [url, key, lastEventId] = process.argv.slice(2);
const headers = { Authorization: `Bearer ${key}` };
if (lastEventId !== undefined) {
    headers['Last-Event-ID'] = lastEventId;
}

function print(line) {
    process.stdout.write(`${JSON.stringify(line)}\n`);
}

const source = new EventSource(url, { headers });
source.onopen = () => print({ client: 'open' });
source.onerror = (event) => {
    // An event named "error" from the server arrives here too, with data.
    print({ client: 'error', status: event.status, message: event.message, data: event.data });
};
for (const type of [
    'message',
    'response.created',
    'response.output_text.delta',
    'response.completed',
    'response.incomplete',
]) {
    source.addEventListener(type, (event) => {
        // The padding only makes events large; printing it would slow down the test that reads this output.
        const { padding, ...data } = JSON.parse(event.data);
        print({ type: event.type, id: event.lastEventId, data });
    });
}
