import java.io.ByteArrayOutputStream;
import java.math.BigInteger;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small CBOR codec for maps with text keys, lists, text, numbers, booleans and null. */
final class Cbor {
    private final byte[] b;
    private int p;

    private Cbor(byte[] b) { this.b = b; }

    static Object decode(byte[] bytes) { return new Cbor(bytes).value(); }

    @SuppressWarnings("unchecked")
    static Map<String, Object> map(byte[] bytes) {
        if (bytes == null || bytes.length == 0) return new LinkedHashMap<>();
        Object v = decode(bytes);
        if (!(v instanceof Map)) throw new IllegalArgumentException("not a map");
        return (Map<String, Object>) v;
    }

    private long length(int info) {
        if (info < 24) return info;
        int n = 1 << (info - 24);
        long v = 0;
        for (int i = 0; i < n; i++) v = v << 8 | (b[p++] & 0xff);
        return v;
    }

    private static final Object BREAK = new Object();

    private Object value() {
        int head = b[p++] & 0xff;
        int major = head >> 5;
        int info = head & 31;
        switch (major) {
            case 0: return unsigned(length(info));
            case 1: return -1 - length(info);
            case 2: case 3: return text(major, info);
            case 4: {
                List<Object> list = new ArrayList<>();
                if (info == 31) { for (Object v = value(); v != BREAK; v = value()) list.add(v); }
                else { long n = length(info); for (long i = 0; i < n; i++) list.add(value()); }
                return list;
            }
            case 5: {
                Map<String, Object> map = new LinkedHashMap<>();
                if (info == 31) { for (Object k = value(); k != BREAK; k = value()) map.put((String) k, value()); }
                else { long n = length(info); for (long i = 0; i < n; i++) { String k = (String) value(); map.put(k, value()); } }
                return map;
            }
            case 6: {
                length(info);
                Object inner = value();
                return inner instanceof byte[] ? big((byte[]) inner) : inner;
            }
            default:
                switch (info) {
                    case 20: return false;
                    case 21: return true;
                    case 22: case 23: return null;
                    case 25: return half((int) length(25));
                    case 26: return (double) Float.intBitsToFloat((int) length(26));
                    case 27: return Double.longBitsToDouble(length(27));
                    case 31: return BREAK;
                    default: throw new IllegalArgumentException("simple " + info);
                }
        }
    }

    private static Object big(byte[] bytes) { return unsigned(new BigInteger(1, bytes).longValue()); }

    private static Object unsigned(long v) { return v; }

    private static double half(int h) {
        int exp = h >> 10 & 31, mant = h & 1023;
        double v = exp == 0 ? Math.scalb(mant, -24) : Math.scalb(mant + 1024, exp - 25);
        return (h & 0x8000) != 0 ? -v : v;
    }

    private Object text(int major, int info) {
        if (info == 31) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            while ((b[p] & 0xff) != 0xff) {
                int n = (int) length(b[p++] & 31);
                out.write(b, p, n);
                p += n;
            }
            p++;
            return major == 3 ? (Object) out.toString(StandardCharsets.UTF_8) : out.toByteArray();
        }
        int n = (int) length(info);
        p += n;
        if (major == 3) return new String(b, p - n, n, StandardCharsets.UTF_8);
        return java.util.Arrays.copyOfRange(b, p - n, p);
    }

    static byte[] encode(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        write(out, value);
        return out.toByteArray();
    }

    private static void head(ByteArrayOutputStream out, int major, long n) {
        int m = major << 5;
        if (n >= 0 && n < 24) out.write(m | (int) n);
        else if (n >= 0 && n < 256) { out.write(m | 24); out.write((int) n); }
        else if (n >= 0 && n < 65536) { out.write(m | 25); out.write((int) (n >> 8)); out.write((int) n); }
        else if (n >= 0 && n < 4294967296L) { out.write(m | 26); out.writeBytes(ByteBuffer.allocate(4).putInt((int) n).array()); }
        else { out.write(m | 27); out.writeBytes(ByteBuffer.allocate(8).putLong(n).array()); }
    }

    private static void write(ByteArrayOutputStream out, Object v) {
        if (v == null) out.write(0xf6);
        else if (v instanceof Boolean) out.write((Boolean) v ? 0xf5 : 0xf4);
        else if (v instanceof Integer || v instanceof Long) {
            long n = ((Number) v).longValue();
            if (n >= 0) head(out, 0, n); else head(out, 1, -1 - n);
        } else if (v instanceof Double) { out.write(0xfb); out.writeBytes(ByteBuffer.allocate(8).putDouble((Double) v).array()); }
        else if (v instanceof String) {
            byte[] t = ((String) v).getBytes(StandardCharsets.UTF_8);
            head(out, 3, t.length);
            out.writeBytes(t);
        } else if (v instanceof Map) {
            Map<?, ?> m = (Map<?, ?>) v;
            head(out, 5, m.size());
            for (Map.Entry<?, ?> e : m.entrySet()) { write(out, e.getKey()); write(out, e.getValue()); }
        } else if (v instanceof List) {
            List<?> l = (List<?>) v;
            head(out, 4, l.size());
            for (Object o : l) write(out, o);
        } else if (v instanceof Encoded) out.writeBytes(((Encoded) v).bytes);
        else throw new IllegalArgumentException("no encoding for " + v.getClass());
    }

    /** A value that is encoded already. */
    static final class Encoded {
        final byte[] bytes;
        Encoded(byte[] bytes) { this.bytes = bytes; }
    }

    /** The size of a value as JSON, in which the pages count the limits. */
    static int jsonSize(Object v) {
        if (v == null) return 4;
        if (v instanceof Boolean) return (Boolean) v ? 4 : 5;
        if (v instanceof Map) {
            int n = 2;
            for (Map.Entry<?, ?> e : ((Map<?, ?>) v).entrySet()) n += jsonSize(e.getKey()) + 1 + jsonSize(e.getValue()) + 1;
            return ((Map<?, ?>) v).isEmpty() ? n : n - 1;
        }
        if (v instanceof List) {
            int n = 2;
            for (Object o : (List<?>) v) n += jsonSize(o) + 1;
            return ((List<?>) v).isEmpty() ? n : n - 1;
        }
        if (v instanceof String) return ((String) v).getBytes(StandardCharsets.UTF_8).length + 2;
        return v.toString().length();
    }
}
