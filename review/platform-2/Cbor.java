import java.io.ByteArrayOutputStream;
import java.math.BigInteger;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** CBOR as the pages use it: maps with text keys, lists, text, numbers, booleans and null. */
final class Cbor {
    private final ByteBuffer in;

    private Cbor(byte[] bytes) {
        in = ByteBuffer.wrap(bytes);
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> decode(byte[] bytes) {
        Object value = bytes.length == 0 ? new LinkedHashMap<String, Object>() : new Cbor(bytes).read();
        if (!(value instanceof Map)) throw new IllegalArgumentException("not a map");
        return (Map<String, Object>) value;
    }

    private static final Object BREAK = new Object();

    private Object read() {
        int head = in.get() & 0xff;
        int major = head >> 5;
        int info = head & 31;
        if (major == 7) return simple(info);
        if (info == 31) return indefinite(major);
        long n = argument(info);
        switch (major) {
            case 0: return n >= 0 ? (Object) n : (Object) new BigInteger(Long.toUnsignedString(n));
            case 1: return -1 - n;
            case 2: case 3: {
                byte[] text = new byte[(int) n];
                in.get(text);
                return new String(text, StandardCharsets.UTF_8);
            }
            case 4: {
                List<Object> list = new ArrayList<>();
                for (long i = 0; i < n; i++) list.add(read());
                return list;
            }
            case 5: {
                Map<String, Object> map = new LinkedHashMap<>();
                for (long i = 0; i < n; i++) {
                    String key = (String) read();
                    map.put(key, read());
                }
                return map;
            }
            default: return read();
        }
    }

    private Object indefinite(int major) {
        if (major == 4) {
            List<Object> list = new ArrayList<>();
            for (Object item = read(); item != BREAK; item = read()) list.add(item);
            return list;
        }
        if (major == 5) {
            Map<String, Object> map = new LinkedHashMap<>();
            for (Object key = read(); key != BREAK; key = read()) map.put((String) key, read());
            return map;
        }
        StringBuilder text = new StringBuilder();
        for (Object part = read(); part != BREAK; part = read()) text.append(part);
        return text.toString();
    }

    private long argument(int info) {
        if (info < 24) return info;
        if (info == 24) return in.get() & 0xff;
        if (info == 25) return in.getShort() & 0xffff;
        if (info == 26) return in.getInt() & 0xffffffffL;
        return in.getLong();
    }

    private Object simple(int info) {
        switch (info) {
            case 20: return false;
            case 21: return true;
            case 22: case 23: return null;
            case 26: return (double) in.getFloat();
            case 27: return in.getDouble();
            case 31: return BREAK;
            default: throw new IllegalArgumentException("unexpected simple value " + info);
        }
    }

    static byte[] encode(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        write(out, value);
        return out.toByteArray();
    }

    private static void write(ByteArrayOutputStream out, Object value) {
        if (value == null) {
            out.write(0xf6);
        } else if (value instanceof Boolean) {
            out.write((Boolean) value ? 0xf5 : 0xf4);
        } else if (value instanceof BigInteger) {
            head(out, 0, ((BigInteger) value).longValue(), true);
        } else if (value instanceof Double) {
            out.write(0xfb);
            out.writeBytes(ByteBuffer.allocate(8).putDouble((Double) value).array());
        } else if (value instanceof Number) {
            long n = ((Number) value).longValue();
            if (n >= 0) head(out, 0, n, false); else head(out, 1, -1 - n, false);
        } else if (value instanceof String) {
            byte[] text = ((String) value).getBytes(StandardCharsets.UTF_8);
            head(out, 3, text.length, false);
            out.writeBytes(text);
        } else if (value instanceof List) {
            List<?> list = (List<?>) value;
            head(out, 4, list.size(), false);
            for (Object item : list) write(out, item);
        } else if (value instanceof Map) {
            Map<?, ?> map = (Map<?, ?>) value;
            head(out, 5, map.size(), false);
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                write(out, entry.getKey());
                write(out, entry.getValue());
            }
        } else {
            throw new IllegalArgumentException("no encoding for " + value.getClass());
        }
    }

    private static void head(ByteArrayOutputStream out, int major, long n, boolean unsigned) {
        int top = major << 5;
        if (!unsigned && n < 24) {
            out.write(top | (int) n);
        } else if (!unsigned && n < 256) {
            out.write(top | 24);
            out.write((int) n);
        } else if (!unsigned && n < 65536) {
            out.write(top | 25);
            out.writeBytes(ByteBuffer.allocate(2).putShort((short) n).array());
        } else if (!unsigned && n < (1L << 32)) {
            out.write(top | 26);
            out.writeBytes(ByteBuffer.allocate(4).putInt((int) n).array());
        } else {
            out.write(top | 27);
            out.writeBytes(ByteBuffer.allocate(8).putLong(n).array());
        }
    }

    /** The size of a value in its JSON form, in which the pages count. */
    static int jsonBytes(Object value) {
        if (value == null) return 4;
        if (value instanceof String) return ((String) value).length() + 2;
        if (value instanceof List) {
            int size = 2;
            for (Object item : (List<?>) value) size += jsonBytes(item) + 1;
            return size;
        }
        if (value instanceof Map) {
            int size = 2;
            for (Map.Entry<?, ?> entry : ((Map<?, ?>) value).entrySet()) {
                size += entry.getKey().toString().length() + 3 + jsonBytes(entry.getValue()) + 1;
            }
            return size;
        }
        return value.toString().length();
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }
}
